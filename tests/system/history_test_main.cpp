// The histories of the register as one program; its scenarios stand in history_*_test.cpp.
#define BOOST_TEST_MODULE history_test
#include <boost/test/unit_test.hpp>
