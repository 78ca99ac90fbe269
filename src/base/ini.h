// Parses INI text into sections with line numbers, and reads their keys with validation.
//
// All problems of a text are collected, each with section, key and line, so that an operator can correct a file in one pass.
#pragma once

#include "base/clock.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace Parsleytrail
{

/// A problem found in an INI text.
struct IniProblem {
    std::string section; ///< section name; empty if it belongs to no section
    std::string key;     ///< key; empty if it belongs to no key
    int line = 0;        ///< line number from 1; 0 if it belongs to no line
    std::string text;    ///< what was expected

    /// "line 3, [service.chat] kind: expected ..."
    std::string toString() const;
};

/// One key with its value.
struct IniEntry {
    std::string key;   ///< key as written in the text
    std::string value; ///< value without surrounding whitespace
    int line = 0;      ///< line number from 1
};

/// One section with its keys.
struct IniSection {
    std::string name;              ///< text between the brackets
    int line = 0;                  ///< line of the header; 0 if the section is missing
    std::vector<IniEntry> entries; ///< in file order
};

/// A parsed INI text.
struct IniFile {
    std::vector<IniSection> sections; ///< in file order
};

constexpr std::size_t maxIniBytes = 8u << 20;  ///< larger texts are rejected
constexpr std::size_t maxIniLineBytes = 16384; ///< longer lines are rejected, never truncated

/// Parses a text. Adds a problem for each syntax error, repeated section, repeated key, key before any section, over-long line
/// and control character.
IniFile parseIni(std::string_view text, std::vector<IniProblem> &problems);
/// The section with that name, or an empty one if it is missing.
IniSection findSection(const IniFile &file, const std::string &name);
/// The section as text with sorted keys and without comments: equal settings give equal text.
std::string canonicalText(const IniSection &section);

/// Reads the keys of one section into variables. Each call reads one key; a missing optional key leaves `out` unchanged, and
/// a missing required or invalid one adds a problem.
class IniSectionReader
{
public:
    IniSectionReader(const IniSection &section, std::vector<IniProblem> &problems);

    void string(const char *key, bool required, std::string &out);
    void choice(const char *key, bool required, std::initializer_list<const char *> choices, std::string &out);
    void integer(const char *key, bool required, std::int64_t min, std::int64_t max, std::int64_t &out);
    void number(const char *key, bool required, double min, double max, double &out);
    void boolean(const char *key, bool required, bool &out);
    /// A decimal number and a unit (ms, s or m); rounded to milliseconds.
    void duration(const char *key, bool required, std::int64_t minMs, std::int64_t maxMs, milliseconds &out);
    void list(const char *key, bool required, std::vector<std::string> &out);
    /// Adds a problem for each key of the section that was not read by one of the calls above.
    void refuseUnknown();

private:
    const IniEntry *findKey(const char *key, bool required);
    void addKeyProblem(const IniEntry &entry, std::string text);

    const IniSection &m_section;
    std::vector<IniProblem> &m_problems;
    std::vector<std::string> m_knownKeys;
};

} // namespace Parsleytrail
