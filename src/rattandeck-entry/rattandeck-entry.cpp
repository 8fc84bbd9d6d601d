// Entry instance: accepts requests of callers, is the home of their programs, and places their calls on sidecars.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    DaemonSettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-entry",
        "accepts calls of agent programs and places them on sidecars" };
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema))
        return *exitCode;
    return runDaemon(settings);
}
