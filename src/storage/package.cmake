# Durable key-value storage of the core members.
find_package(Threads REQUIRED)
add_library(curlewdoor_storage STATIC
  src/storage/database.cpp src/storage/directory.cpp src/storage/durable_names_env.cpp src/storage/inspect.cpp
  src/storage/leveldb_storage.cpp src/storage/memory_storage.cpp)
target_include_directories(curlewdoor_storage PUBLIC src)
target_link_libraries(curlewdoor_storage PRIVATE ${LEVELDB} Threads::Threads)
system_test(storage_test tests/storage/storage_test.cpp curlewdoor_storage)
system_test(storage_names_test tests/storage/names_test.cpp curlewdoor_storage)
system_test(storage_crash_test tests/storage/crash_test.cpp curlewdoor_storage curlewdoor_agreement ${LEVELDB})
if(CURLEWDOOR_TESTS)
  target_sources(storage_crash_test PRIVATE tests/storage/simulated_disk.cpp)
endif()
system_test(storage_trouble_test tests/storage/trouble_test.cpp curlewdoor_storage curlewdoor_agreement)
