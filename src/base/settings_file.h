// Reading a process's settings file, and the command line that all daemons share.
#pragma once

#include "base/errors.h"
#include "base/ini.h"

#include <functional>
#include <string>

namespace Parsleytrail
{

/// Whole content of a file. Fails with the step "read file".
Result<std::string> readFile(const std::string &path);

/// Adds a problem for each key of the section whose value is not an address; lists are checked item by item.
void checkAddresses(const IniSection &section, std::initializer_list<const char *> keys, std::vector<IniProblem> &problems);

/// Reads the only section of a settings file into `read`, and prints all problems to standard error.
/// Returns false if there were any. Other sections are problems.
bool loadSettings(const std::string &path, const char *sectionName, const std::function<void(const IniSection &, std::vector<IniProblem> &)> &read);

} // namespace Parsleytrail
