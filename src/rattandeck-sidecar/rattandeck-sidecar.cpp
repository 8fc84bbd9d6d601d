// Sidecar of one endpoint instance: admits and schedules its calls and keeps their records.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    DaemonSettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-sidecar", "admits calls to the endpoint beside it" };
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema))
        return *exitCode;
    return runDaemon(settings);
}
