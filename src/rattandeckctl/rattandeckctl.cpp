// Command line tool for operators: configuration objects, drains, explanations of placements, and request traces.

#include "commands.h"
#include "configcheck.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/version.h"
#include "trace.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace Options = boost::program_options;
using RattandeckApp::ExitSuccess;
using RattandeckApp::ExitUsage;

namespace {

constexpr const char* usage = R"(Usage: rattandeckctl [options] COMMAND [ARGUMENTS]

  check              check the objects of --file, offline
  check FILE         check the spec of the platform's configuration object, in JSON; exit codes:
                     0 no findings, 1 findings, 2 can't be read
  diff               show how --file differs from what is stored
  apply              store the objects of --file; an object that another operator has changed
                     since its "version" was read is a conflict, and is not changed
  get KIND [NAME]    print objects with their versions, as apply reads them
  delete KIND NAME   delete an object of version --version-read
  watch [KIND]       print changes until interrupted
  explain PROGRAM    show how the endpoints of a program's calls were chosen (--entry)
  trace ID LOG...    show the log lines about a request or program, ordered by time
  drain NODE         place no new work on an endpoint instance
  undrain NODE       place new work on it again
)";

int reportUsage(const std::string& text)
{
    std::cerr << "rattandeckctl: " << text << "; see --help\n";
    return ExitUsage;
}

struct Command {
    std::string name;
    std::vector<std::string> arguments;

    std::string argument(std::size_t index) const
    {
        return index < this->arguments.size() ? this->arguments[index] : std::string();
    }
};

int run(const Command& command, const CommandOptions& options)
{
    if (command.name == "check" && command.arguments.size() == 1)
        return checkConfiguration(command.argument(0), options.configCheck);
    if (command.name == "check" && command.arguments.empty())
        return checkFile(options);
    if (command.name == "explain") {
        if (options.entryAdmins.empty() || command.arguments.size() != 1)
            return reportUsage("explain needs --entry and a program id");
        return explainProgram(options, command.argument(0));
    }
    if (command.name == "trace") {
        if (command.arguments.size() < 2)
            return reportUsage("trace needs an id and log files");
        return printTrace(command.argument(0), { command.arguments.begin() + 1, command.arguments.end() });
    }
    if (!options.objectApi)
        return reportUsage("--objects is needed, the address of the object API");
    if (command.name == "apply")
        return applyFile(options);
    if (command.name == "diff")
        return diffFile(options);
    if (command.name == "watch")
        return watchObjects(options, command.argument(0));
    if (command.name == "get" && !command.arguments.empty())
        return getObjects(options, command.argument(0), command.argument(1));
    if (command.name == "delete" && command.arguments.size() == 2)
        return deleteObject(options, command.argument(0), command.argument(1));
    if ((command.name == "drain" || command.name == "undrain") && command.arguments.size() == 1)
        return drainEndpoint(options, command.argument(0), command.name == "undrain");
    return reportUsage("unknown command or missing argument");
}

/// Parses `text` into `address`, which stays unset if the text is empty. Returns false if the text is not an address.
bool readAddress(const std::string& text, std::optional<RattandeckNet::Address>& address)
{
    if (text.empty())
        return true;
    const auto parsed = RattandeckNet::parseAddress(text);
    if (parsed)
        address = *parsed;
    return parsed.has_value();
}

/// The command line, with addresses as text.
struct Given {
    Command command;
    CommandOptions options;
    std::string objects;
    std::string instances;
    std::string store;
    std::vector<std::string> entries;
};

Options::options_description describeOptions(Given& given)
{
    Options::options_description described("Options");
    auto add = described.add_options();
    add("objects", Options::value(&given.objects)->value_name("HOST:PORT"), "the object API");
    add("instances", Options::value(&given.instances)->value_name("HOST:PORT"), "the instance list, for dry runs");
    add("entry", Options::value(&given.entries)->value_name("HOST:PORT"), "admin address of an entry; repeatable");
    add("file,f", Options::value(&given.options.file)->value_name("FILE"), "objects in TOML");
    add("dry-run", Options::bool_switch(&given.options.dryRun),
        "apply: show what would change and which endpoints match");
    add("overwrite", Options::bool_switch(&given.options.overwrite),
        "apply: replace objects regardless of their stored version");
    add("version-read", Options::value(&given.options.version.value)->value_name("N"),
        "delete: the version as last read");
    add("format", Options::value(&given.options.configCheck.format)->value_name("text|json"),
        "check FILE: how findings are printed");
    add("against", Options::value(&given.options.configCheck.against)->value_name("FILE|live"),
        "check FILE: also report what differs from the version in force");
    add("store", Options::value(&given.store)->value_name("HOST:PORT"),
        "check FILE: the platform's store, for --against live and checks against its instances");
    add("deadline-ms", Options::value(&given.options.configCheck.deadlineMs)->value_name("N"),
        "check FILE: longest time that callers wait for an answer");
    add("program-calls", Options::value(&given.options.configCheck.programCalls)->value_name("N"),
        "check FILE: calls that one program makes");
    add("version", "print the version");
    add("help", "print this text");
    return described;
}

/// Reads `described` and the positional arguments. Throws `Options::error`.
Options::variables_map readArguments(
    int argc, char** argv, const Options::options_description& described, Command& command)
{
    Options::options_description all;
    all.add(described);
    all.add_options()("command", Options::value(&command.name))("arguments", Options::value(&command.arguments));
    Options::positional_options_description positions;
    positions.add("command", 1).add("arguments", -1);
    Options::variables_map values;
    Options::store(Options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    Options::notify(values);
    return values;
}

/// Parses the addresses into the options. Returns false if one is not an address.
bool readAddresses(Given& given)
{
    for (const std::string& text : given.entries) {
        std::optional<RattandeckNet::Address> address;
        if (!readAddress(text, address) || !address)
            return false;
        given.options.entryAdmins.push_back(*address);
    }
    return readAddress(given.objects, given.options.objectApi)
        && readAddress(given.instances, given.options.instanceList)
        && readAddress(given.store, given.options.configCheck.store);
}

}

int main(int argc, char** argv)
{
    Given given;
    const Options::options_description described = describeOptions(given);
    Options::variables_map values;
    try {
        values = readArguments(argc, argv, described, given.command);
    } catch (const Options::error& error) {
        return reportUsage(error.what());
    }
    if (values.contains("help")) {
        std::cout << usage << '\n'
                  << described << "\nExit codes: 0 success, 1 failure, 2 usage, 3 settings, "
                  << "4 unavailable, 5 conflict.\n";
        return ExitSuccess;
    }
    if (values.contains("version")) {
        std::cout << "rattandeckctl " << RattandeckApp::version() << '\n';
        return ExitSuccess;
    }
    if (!readAddresses(given))
        return reportUsage("an address must look like 127.0.0.1:8080");
    return run(given.command, given.options);
}
