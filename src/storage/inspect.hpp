// A look at the storage of a process that is stopped, for operators. Nothing in its directory is written: the
// files are copied to a temporary directory, which is opened and removed.
#pragma once

#include <string>

#include "storage/storage.hpp"

namespace curlewdoor::storage {

// All records, in the order of their keys; every byte is checked, also what OpenStorage() would leave out as
// the damaged end of a log. Throws StorageError: not there, in use by a process, too large, or damaged.
Records ReadStopped(const std::string& directory);

}  // namespace curlewdoor::storage
