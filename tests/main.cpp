// Entry point of all tests.
#define BOOST_TEST_MODULE damaskhill
#include <boost/test/unit_test.hpp>
