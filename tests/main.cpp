#define BOOST_TEST_MODULE parsleytrail
#include <boost/test/unit_test.hpp>
