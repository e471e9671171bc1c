# Replication of the service registry over the core members: votes, proofs of a host list, voting rights. Pure.
add_library(curlewdoor_registry_replication STATIC
  src/registry_replication/lease.cpp src/registry_replication/record.cpp src/registry_replication/replica.cpp
  src/registry_replication/votes.cpp src/registry_replication/watermark.cpp)
target_include_directories(curlewdoor_registry_replication PUBLIC src)
target_include_directories(curlewdoor_registry_replication SYSTEM PRIVATE ${MSGPACK})
target_compile_definitions(curlewdoor_registry_replication PRIVATE MSGPACK_NO_BOOST)
system_test(registry_test tests/registry_replication/registry_test.cpp curlewdoor_registry_replication)
if(NOT CURLEWDOOR_SANITIZE)  # These tests run many seeds, which takes too long in a sanitized build.
  system_test(registry_search_test tests/registry_replication/registry_search_test.cpp curlewdoor_registry_replication)
  system_test(return_search_test tests/registry_replication/return_search_test.cpp curlewdoor_registry_replication
              curlewdoor_service_registry)
endif()
