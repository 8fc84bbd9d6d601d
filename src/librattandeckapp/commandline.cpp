#include "RattandeckApp/commandline.h"

#include "RattandeckApp/version.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace RattandeckApp {

namespace Options = boost::program_options;

namespace {

    constexpr const char* exitCodeHelp
        = "Exit codes: 0 success, 1 failure, 2 usage, 3 settings, 4 unavailable, 5 conflict.";

    // Prints the errors. Returns the exit code if there are any.
    std::optional<int> report(const tl::expected<void, std::vector<SettingsError>>& result)
    {
        if (result)
            return std::nullopt;
        for (const SettingsError& error : result.error())
            std::cerr << describe(error) << '\n';
        return ExitSettings;
    }

    Options::options_description describeOptions(SettingsSource& given)
    {
        Options::options_description described("Options");
        auto add = described.add_options();
        add("settings", Options::value(&given.path)->value_name("FILE"), "read settings from a TOML file");
        add("set", Options::value(&given.overrides)->value_name("KEY=VALUE"),
            "a setting as TOML, such as log.level='\"debug\"'");
        add("check", "check the settings and exit");
        add("print-settings", "print the effective settings with their descriptions and exit");
        add("version", "print the version and exit");
        add("help", "print this text and exit");
        return described;
    }

    // Answers the options that need no settings. Returns the exit code if one is given.
    std::optional<int> printInformation(const ProgramInfo& program, const Options::options_description& described,
        const Options::variables_map& options)
    {
        if (options.contains("help"))
            std::cout << program.name << ": " << program.summary << "\n\n" << described << '\n' << exitCodeHelp << '\n';
        else if (options.contains("version"))
            std::cout << program.name << ' ' << version() << '\n';
        else
            return std::nullopt;
        return ExitSuccess;
    }

}

static tl::expected<void, std::vector<SettingsError>> loadOverrides(
    SettingsSchema& schema, const std::vector<std::string>& overrides)
{
    for (const std::string& line : overrides) {
        if (auto loaded = schema.override(line); !loaded)
            return loaded;
    }
    return {};
}

tl::expected<void, std::vector<SettingsError>> loadSettings(SettingsSchema& schema, const SettingsSource& source)
{
    auto loaded = source.path.empty() ? schema.load("", "(no settings file)") : schema.loadFile(source.path);
    if (!loaded)
        return loaded;
    return loadOverrides(schema, source.overrides);
}

std::optional<int> readCommandLine(
    int argc, char** argv, const ProgramInfo& program, SettingsSchema& schema, SettingsSource* source)
{
    SettingsSource given;
    const Options::options_description described = describeOptions(given);
    Options::variables_map options;
    try {
        Options::store(Options::parse_command_line(argc, argv, described), options);
        Options::notify(options);
    } catch (const Options::error& error) {
        std::cerr << program.name << ": " << error.what() << "; see --help\n";
        return ExitUsage;
    }
    if (const auto code = printInformation(program, described, options))
        return code;

    // Required keys have no default; without a file, `--print-settings` prints the defaults and does not ask for them.
    const bool printing = options.contains("print-settings");
    const bool mayBeIncomplete = given.path.empty() && printing;
    const auto loaded = mayBeIncomplete ? loadOverrides(schema, given.overrides) : loadSettings(schema, given);
    if (const auto code = report(loaded))
        return code;
    if (source)
        *source = given;
    if (printing) {
        std::cout << schema.print();
        return ExitSuccess;
    }
    if (options.contains("check")) {
        std::cout << "settings are valid\n";
        return ExitSuccess;
    }
    return std::nullopt;
}

}
