// Reads a process's settings file and reports its problems.
#pragma once

#include "base/errors.h"
#include "base/ini.h"

#include <functional>
#include <string>

namespace Parsleytrail
{

/// Content of a file. Fails with the step "read file".
Result<std::string> readFile(const std::string &path);

/// Adds a problem for each invalid address in the values of the given keys; lists are checked item by item.
void checkAddresses(const IniSection &section, std::initializer_list<const char *> keys, std::vector<IniProblem> &problems);

/// Loads a settings file, which must hold the given section and no other, passes the section to `read` and prints all problems
/// to standard error. Returns false if there were any.
bool loadSettings(const std::string &path, const char *sectionName, const std::function<void(const IniSection &, std::vector<IniProblem> &)> &read);

} // namespace Parsleytrail
