# What the core has promised, synced to the disk.
find_package(Threads REQUIRED)
add_library(curlewdoor_shelf STATIC src/shelf/leveldb_shelf.cpp src/shelf/look.cpp
                                    src/shelf/memory_shelf.cpp)
target_include_directories(curlewdoor_shelf PUBLIC src)
target_link_libraries(curlewdoor_shelf PRIVATE ${LEVELDB} Threads::Threads)
system_test(shelf_test tests/shelf/shelf_test.cpp curlewdoor_shelf)
system_test(shelf_crash_test tests/shelf/crash_test.cpp curlewdoor_shelf curlewdoor_agreement ${LEVELDB})
system_test(shelf_trouble_test tests/shelf/trouble_test.cpp curlewdoor_shelf curlewdoor_agreement)
