# The service registry over several members: votes, proofs of a list, and who may vote. Pure.
add_library(curlewdoor_registry STATIC src/registry/lease.cpp src/registry/record.cpp src/registry/replica.cpp
                                       src/registry/votes.cpp src/registry/watermark.cpp)
target_include_directories(curlewdoor_registry PUBLIC src)
target_include_directories(curlewdoor_registry SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_registry PRIVATE MSGPACK_NO_BOOST)
system_test(registry_test tests/registry/registry_test.cpp curlewdoor_registry)
if(NOT CURLEWDOOR_SANITIZE)  # many seeds
  system_test(registry_search_test tests/registry/registry_search_test.cpp curlewdoor_registry)
  system_test(return_search_test tests/registry/return_search_test.cpp curlewdoor_registry curlewdoor_service_registry)
endif()
