#pragma once

#include "pimentostage/platform/ObjectCodec.h"
#include "src/base/Version.h"
#include "src/daemon/Program.h"

#include <algorithm>
#include <string>
#include <vector>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

namespace pimentostage {

/// Parses the command line. Flag names may contain dashes in place of underscores.
/// @return the positional arguments, without the program's name.
inline std::vector<std::string> parseCommandLine(int argc, char **argv)
{
    static std::vector<std::string> texts;
    std::vector<char *> arguments;
    for (int i = 0; i < argc; ++i) {
        std::string text = argv[i];
        const std::size_t end = std::min(text.find('='), text.size());
        const bool isFlag = text.rfind("--", 0) == 0;
        if (isFlag && end > 2)
            std::replace(text.begin() + 2, text.begin() + static_cast<std::ptrdiff_t>(end), '-',
                         '_');
        texts.push_back(text);
    }
    arguments.reserve(texts.size());
    for (std::string &text : texts)
        arguments.push_back(text.data());
    const std::vector<char *> rest
        = absl::ParseCommandLine(static_cast<int>(arguments.size()), arguments.data());
    return { rest.begin() + 1, rest.end() };
}

/// Sets the output of --help and --version.
/// @param usage description of the program and its command line.
inline void configureProgram(const std::string &name, const std::string &usage)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.contains_helpshort_flags
        = [name](absl::string_view file) { return absl::StrContains(file, name); };
    config.contains_help_flags = config.contains_helpshort_flags;
    config.version_string = [name] { return name + ' ' + kVersion + '\n'; };
    absl::SetFlagsUsageConfig(config);
}

} // namespace pimentostage
