// parsley-check-history: checks the guarantees of the system against history files.
#include "bench/history_checker.h"

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iostream>

using namespace Parsleytrail;

static constexpr const char *helpText = R"(parsley-check-history: checks the guarantees of the system against the histories of a run.

Usage: parsley-check-history FILE...

The files are those that processes write with the setting history-file; pass the files of all processes of a run.
Prints each violated guarantee with the event that violates it. Exit: 0 no violation, 1 violations, 2 a file can't be
read.
)";

int main(int argc, char **argv)
{
    if (argc < 2 || std::strcmp(argv[1], "--help") == 0) {
        std::cout << helpText;
        return argc < 2 ? 2 : 0;
    }
    std::vector<std::string> lines;
    for (int i = 1; i < argc; ++i) {
        std::ifstream file(argv[i]);
        if (!file) {
            std::cerr << argv[i] << ": cannot be read\n";
            return 2;
        }
        std::string line;
        while (std::getline(file, line)) {
            lines.push_back(line);
        }
    }
    const std::vector<Violation> violations = checkHistory(lines);
    for (const Violation &violation : violations) {
        std::cout << toString(violation.guarantee) << ": " << violation.text << ": " << violation.event << '\n';
    }
    std::cout << lines.size() << " events, " << violations.size() << " violations\n";
    return violations.empty() ? 0 : 1;
}
