// Reads the storage of a stopped process, for operator tools. The original directory is never written: its
// files are copied to a temporary directory, which is opened there and removed afterwards.
#pragma once

#include <string>

#include "storage/storage.hpp"

namespace curlewdoor::storage {

// Returns all records in key order. Verifies every byte, including a damaged log tail that OpenStorage()
// would silently discard. Throws StorageError if the storage is missing, in use by a process, too large or
// damaged.
Records ReadOfflineStorage(const std::string& directory);

}  // namespace curlewdoor::storage
