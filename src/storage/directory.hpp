// Directories of the real file system.
#pragma once

#include <string>

namespace curlewdoor::storage {

// The directory in which `directory` has its name. Lexical: symbolic links aren't followed.
std::string ParentDirectory(const std::string& directory);

// Makes the names in `directory` durable. Returns false if it fails. Blocks while the disk does.
bool SyncDirectory(const std::string& directory);

}  // namespace curlewdoor::storage
