// The reader of settings files: which texts are durations.
#include "base/ini.h"
#include "generated/settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Parsleytrail;

namespace
{

struct DurationText {
    const char *text;
    int ms;
};
std::ostream &operator<<(std::ostream &out, const DurationText &duration)
{
    return out << duration.text;
}

const DurationText durations[] = {
    {"8s", 8000},   {"7.5s", 7500}, {"8.0s", 8000},     {"8e0s", 8000},     {"0.8e1s", 8000}, {"8E3ms", 8000},
    {"8.2s", 8200}, {"1.1s", 1100}, {"2000.0ms", 2000}, {"1999.6ms", 2000}, {"0.125m", 7500}, {"1.25e-1m", 7500},
};

const char *const notDurations[] = {"",     "s",      "8",       "8.0",    "-8s",  "-0.5s",  "nans",
                                    "infs", "1e400s", "1e-400s", "0x8s",   "8 s",  ".s",     "8.s.s",
                                    "8,5s", "+8s",    "8e s",    "1e300s", "1e9s", "8.0.0s", "9999999999999999999s"};

/// Settings of a relay whose bounds all have this text.
RelaySettings relaySettings(const std::string &duration, std::vector<IniProblem> &problems, const std::string &descriptors = "100")
{
    std::string ini = "max-descriptors = " + descriptors + "\n";
    ini = "[relay]\nid = a\ndata-center = b\nhost = c\ncaller-address = d:1\nreadiness-address = e:1\npeer-port = 0\nmetrics-port = 0\nstore = f:1\n" + ini;
    for (const char *key : {"retry-window", "target-drain-time", "stop-timeout"}) {
        ini += std::string(key) + " = " + duration + "\n";
    }
    RelaySettings settings;
    readSection(findSection(parseIni(ini, problems), "relay"), settings, problems);
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(IniTest)

/// Guards against a relay that does not start because the platform gives a bound as a fraction, or a whole number in another form.
BOOST_DATA_TEST_CASE(durationsMayBeFractions, boost::unit_test::data::make(durations), duration)
{
    std::vector<IniProblem> problems;
    const RelaySettings settings = relaySettings(duration.text, problems);
    BOOST_TEST(problems.size() == 0U);
    BOOST_TEST(settings.retryWindow.count() == duration.ms);
    BOOST_TEST(settings.targetDrainTime.count() == duration.ms);
    BOOST_TEST(settings.stopTimeout.count() == duration.ms);
}

/// Guards against texts that are no times and are read as some.
BOOST_DATA_TEST_CASE(otherTextsAreNoDurations, boost::unit_test::data::make(notDurations), text)
{
    std::vector<IniProblem> problems;
    relaySettings(text, problems);
    BOOST_TEST(problems.size() == 3U);
}

/// Guards against the same for numbers without a unit: whole ones may come in another form, fractions are none.
BOOST_DATA_TEST_CASE(wholeNumbersMayComeInAnotherForm, boost::unit_test::data::make({"4100", "4100.0", "4.1e3"}), text)
{
    std::vector<IniProblem> problems;
    const RelaySettings settings = relaySettings("8s", problems, text);
    BOOST_TEST(problems.size() == 0U);
    BOOST_TEST(settings.maxDescriptors == 4100);
}

BOOST_DATA_TEST_CASE(otherTextsAreNoWholeNumbers, boost::unit_test::data::make({"4100.5", "nan", "inf", "1e300", "-1.0", "4100x", "0x10"}), text)
{
    std::vector<IniProblem> problems;
    relaySettings("8s", problems, text);
    BOOST_TEST(problems.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
