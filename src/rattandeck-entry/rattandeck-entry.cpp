// Entry instance: takes callers' requests, is the home of programs, and places their calls.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    DaemonSettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-entry", "takes agent programs' calls and places them" };
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema))
        return *exitCode;
    return runDaemon(settings);
}
