#include "base/ini.h"

#include "base/text.h"

#include <absl/strings/str_cat.h>
#include <ini.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <optional>

namespace Parsleytrail
{

// [SECTION] Parsing

namespace
{

constexpr std::size_t maxKeyBytes = 128; ///< longest key in a line that does not fit into inih's buffer

/// State of one parse, passed to inih's callbacks.
struct ParseState {
    std::string_view remainingText;       ///< text not yet read
    int line = 0;                         ///< number of the line last passed to inih, from 1
    std::optional<std::string> longValue; ///< value of that line if the line exceeds inih's buffer
    IniFile file;                         ///< result
    std::vector<IniProblem> *problems;    ///< receives the problems found
};

void addProblem(ParseState &state, const std::string &section, const std::string &key, std::string text)
{
    state.problems->push_back({section, key, state.line, std::move(text)});
}

bool hasControlCharacter(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t' && c != '\r') || c == 0x7f;
    });
}

/// Adds a section if the line is a section header. inih only reports keys, so empty and repeated sections are detected here.
void openSection(ParseState &state, std::string_view line)
{
    const std::string_view header = trimmed(line);
    if (!header.starts_with('[')) {
        return;
    }
    const std::size_t end = header.find(']');
    if (end == std::string_view::npos) {
        return; // inih reports the missing bracket
    }
    const std::string name(header.substr(1, end - 1));
    for (const IniSection &section : state.file.sections) {
        if (section.name == name) {
            addProblem(state, name, "", absl::StrCat("expected one section of this name; the first is at line ", section.line));
        }
    }
    state.file.sections.push_back({name, state.line, {}});
}

/// Stores the value of a long line in `state.longValue` and sets `shortened` to the key with a placeholder value: inih's
/// buffer holds 200 bytes, and inih would split a longer line and parse the remainder as another line. Returns false if the
/// line is not "key = value".
bool extractLongValue(ParseState &state, std::string_view line, std::string &shortened)
{
    const std::size_t equals = line.find_first_of("=:");
    if (equals > maxKeyBytes) { // npos, without a separator, is larger too
        return false;
    }
    std::string_view value = line.substr(equals + 1);
    const auto isComment = [&value](std::size_t at) {
        return value[at] == ';' && (value[at - 1] == ' ' || value[at - 1] == '\t');
    };
    for (std::size_t at = 1; at < value.size(); ++at) {
        if (isComment(at)) {
            value = value.substr(0, at);
        }
    }
    state.longValue = std::string(trimmed(value));
    shortened = std::string(line.substr(0, equals + 1)) + " long";
    return true;
}

/// Replaces fgets as inih's line reader: counts lines, checks them and shortens those that exceed inih's buffer.
char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    state.longValue.reset();
    if (state.remainingText.empty()) {
        return nullptr;
    }
    ++state.line;
    const std::size_t end = state.remainingText.find('\n');
    std::string_view line = state.remainingText.substr(0, end);
    state.remainingText = end == std::string_view::npos ? std::string_view() : state.remainingText.substr(end + 1);
    if (line.size() > maxIniLineBytes) {
        addProblem(state, "", "", absl::StrCat("expected at most ", maxIniLineBytes, " bytes in a line"));
        line = "";
    }
    if (hasControlCharacter(line)) {
        addProblem(state, "", "", "expected printable text, found a control character");
        line = "";
    }
    openSection(state, line);
    std::string shortened(line);
    const bool isLong = line.size() > static_cast<std::size_t>(size) - 2;
    const bool isComment = trimmed(line).starts_with(';') || trimmed(line).starts_with('#');
    if (isLong && (isComment || !extractLongValue(state, line, shortened))) {
        shortened.clear();
        if (!isComment) {
            addProblem(state, "", "", absl::StrCat("expected key = value, with a key of at most ", maxKeyBytes, " bytes"));
        }
    }
    std::memcpy(buffer, shortened.data(), shortened.size());
    buffer[shortened.size()] = '\n';
    buffer[shortened.size() + 1] = '\0';
    return buffer;
}

int handleEntry(void *user, const char *section, const char *name, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    if (state.file.sections.empty()) {
        addProblem(state, section, name, "expected a [section] before the first key");
        return 1;
    }
    IniSection &current = state.file.sections.back();
    for (const IniEntry &entry : current.entries) {
        if (entry.key == name) {
            addProblem(state, current.name, name, absl::StrCat("expected the key once; it stands at line ", entry.line, " already"));
            return 1;
        }
    }
    std::string text = state.longValue.value_or(value);
    if (text.starts_with(';')) {
        // "key =;..." gives a value that starts with ";" here. The canonical text puts a space before it, which makes it a comment.
        addProblem(state, current.name, name, "expected a value, or a comment with a blank before the ;");
        return 1;
    }
    current.entries.push_back({name, std::move(text), state.line});
    return 1;
}

} // namespace

IniFile parseIni(std::string_view text, std::vector<IniProblem> &problems)
{
    ParseState state;
    state.remainingText = text;
    state.problems = &problems;
    if (text.size() > maxIniBytes) {
        addProblem(state, "", "", absl::StrCat("expected at most ", maxIniBytes, " bytes"));
        return {};
    }
    // inih continues after an error and returns only the number of the first malformed line.
    const int badLine = ini_parse_stream(readLine, &state, handleEntry, &state);
    if (badLine > 0) {
        problems.push_back({"", "", badLine, "expected [section], key = value, or a comment that starts with ;"});
    }
    return std::move(state.file);
}

IniSection findSection(const IniFile &file, const std::string &name)
{
    for (const IniSection &section : file.sections) {
        if (section.name == name) {
            return section;
        }
    }
    return {name, 0, {}};
}

std::string canonicalText(const IniSection &section)
{
    std::vector<const IniEntry *> sorted;
    for (const IniEntry &entry : section.entries) {
        sorted.push_back(&entry);
    }
    std::sort(sorted.begin(), sorted.end(), [](const IniEntry *a, const IniEntry *b) {
        return a->key < b->key;
    });
    std::string text = absl::StrCat("[", section.name, "]\n");
    for (const IniEntry *entry : sorted) {
        absl::StrAppend(&text, entry->key, " = ", entry->value, "\n");
    }
    return text;
}

std::string IniProblem::toString() const
{
    std::string where = line > 0 ? absl::StrCat("line ", line) : "file";
    if (!section.empty()) {
        absl::StrAppend(&where, ", [", section, "]");
    }
    if (!key.empty()) {
        absl::StrAppend(&where, " ", key);
    }
    return absl::StrCat(where, ": ", text);
}

// [SECTION] Reading keys

/// Parses a decimal number, with a fraction and an exponent if it has them. Returns false if it is none or out of range.
static bool parseDecimal(std::string_view text, double &out)
{
    return parseNumber(text, out) && std::isfinite(out);
}

/// Parses a whole number in any form of a decimal number: whoever writes settings from its own figures may write 8 as 8.0 or 8e0.
static bool parseWholeNumber(std::string_view text, std::int64_t &out)
{
    if (parseNumber(text, out)) {
        return true;
    }
    constexpr double maxExact = 9007199254740992.0; // 2^53: a double holds all whole numbers up to it
    double value = 0;
    if (!parseDecimal(text, value) || std::abs(value) > maxExact || value != std::trunc(value)) {
        return false;
    }
    out = static_cast<std::int64_t>(value);
    return true;
}

IniSectionReader::IniSectionReader(const IniSection &section, std::vector<IniProblem> &problems)
    : m_section(section)
    , m_problems(problems)
{
}

const IniEntry *IniSectionReader::findKey(const char *key, bool required)
{
    m_knownKeys.emplace_back(key);
    for (const IniEntry &entry : m_section.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    if (required) {
        m_problems.push_back({m_section.name, key, m_section.line, "expected this key, it is required"});
    }
    return nullptr;
}

void IniSectionReader::addKeyProblem(const IniEntry &entry, std::string text)
{
    m_problems.push_back({m_section.name, entry.key, entry.line, std::move(text)});
}

void IniSectionReader::string(const char *key, bool required, std::string &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    if (required && entry->value.empty()) {
        addKeyProblem(*entry, "expected a value");
    }
    out = entry->value;
}

void IniSectionReader::choice(const char *key, bool required, std::initializer_list<const char *> choices, std::string &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    out = entry->value;
    if (std::find(choices.begin(), choices.end(), entry->value) == choices.end()) {
        addKeyProblem(*entry, "expected one of " + joined({choices.begin(), choices.end()}, ", "));
    }
}

void IniSectionReader::integer(const char *key, bool required, std::int64_t min, std::int64_t max, std::int64_t &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    std::int64_t value = 0;
    if (!parseWholeNumber(entry->value, value) || value < min || value > max) {
        addKeyProblem(*entry, absl::StrCat("expected a whole number from ", min, " to ", max));
        return;
    }
    out = value;
}

void IniSectionReader::number(const char *key, bool required, double min, double max, double &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    double value = 0;
    if (!parseNumber(entry->value, value) || !(value >= min && value <= max)) {
        addKeyProblem(*entry, absl::StrCat("expected a number from ", min, " to ", max));
        return;
    }
    out = value;
}

void IniSectionReader::boolean(const char *key, bool required, bool &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    if (entry->value != "true" && entry->value != "false") {
        addKeyProblem(*entry, "expected true or false");
        return;
    }
    out = entry->value == "true";
}

void IniSectionReader::duration(const char *key, bool required, std::int64_t minMs, std::int64_t maxMs, milliseconds &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    std::string_view digits = entry->value;
    double unitMs = 0;
    if (digits.ends_with("ms")) {
        unitMs = 1;
        digits.remove_suffix(2);
    } else if (digits.ends_with("s")) {
        unitMs = 1000;
        digits.remove_suffix(1);
    } else if (digits.ends_with("m")) {
        unitMs = 60000;
        digits.remove_suffix(1);
    }
    double count = 0;
    const bool isNumber = unitMs > 0 && parseDecimal(digits, count) && !std::signbit(count);
    const double ms = std::round(count * unitMs);
    if (!isNumber || ms > static_cast<double>(maxMs) || ms < static_cast<double>(minMs)) {
        addKeyProblem(*entry, absl::StrCat("expected a duration such as 250ms, 2s, 7.5s or 1m, from ", minMs, "ms to ", maxMs, "ms"));
        return;
    }
    out = milliseconds(static_cast<std::int64_t>(ms));
}

void IniSectionReader::list(const char *key, bool required, std::vector<std::string> &out)
{
    const IniEntry *entry = findKey(key, required);
    if (!entry) {
        return;
    }
    out = splitList(entry->value, ',');
    if (required && out.empty()) {
        addKeyProblem(*entry, "expected at least one value");
    }
}

void IniSectionReader::refuseUnknown()
{
    for (const IniEntry &entry : m_section.entries) {
        if (std::find(m_knownKeys.begin(), m_knownKeys.end(), entry.key) == m_knownKeys.end()) {
            addKeyProblem(entry, "expected one of " + joined(m_knownKeys, ", "));
        }
    }
}

} // namespace Parsleytrail
