#include "base/settings_file.h"

#include "base/address.h"
#include "base/text.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace Parsleytrail
{

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail("read file", path, "cannot be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void checkAddresses(const IniSection &section, std::initializer_list<const char *> keys, std::vector<IniProblem> &problems)
{
    for (const IniEntry &entry : section.entries) {
        const bool isAddress = std::any_of(keys.begin(), keys.end(), [&entry](const char *key) {
            return entry.key == key;
        });
        for (const std::string &item : isAddress ? splitList(entry.value, ',') : std::vector<std::string>()) {
            Error error;
            const auto parse = [&item]() -> Result<void> {
                BOOST_LEAF_CHECK(parseAddress(item));
                return {};
            };
            if (!runCatching(parse, error)) {
                problems.push_back({section.name, entry.key, entry.line, error.text + ", found '" + item + "'"});
            }
        }
    }
}

static void checkSections(const IniFile &file, const std::string &expectedName, std::vector<IniProblem> &problems)
{
    bool isPresent = false;
    for (const IniSection &section : file.sections) {
        isPresent = isPresent || section.name == expectedName;
        if (section.name != expectedName) {
            problems.push_back({section.name, "", section.line, "expected only the section [" + expectedName + "]"});
        }
    }
    if (!isPresent) {
        problems.push_back({expectedName, "", 0, "expected this section"});
    }
}

bool loadSettings(const std::string &path, const char *sectionName, const std::function<void(const IniSection &, std::vector<IniProblem> &)> &read)
{
    std::vector<IniProblem> problems;
    Error error;
    const auto load = [&]() -> Result<void> {
        BOOST_LEAF_AUTO(text, readFile(path));
        const IniFile file = parseIni(text, problems);
        checkSections(file, sectionName, problems);
        read(findSection(file, sectionName), problems);
        return {};
    };
    if (!runCatching(load, error)) {
        std::cerr << error.toString() << '\n';
        return false;
    }
    for (const IniProblem &problem : problems) {
        std::cerr << path << ": " << problem.toString() << '\n';
    }
    return problems.empty();
}

} // namespace Parsleytrail
