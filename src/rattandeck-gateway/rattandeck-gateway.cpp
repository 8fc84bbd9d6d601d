// Gateway instance: relays callers' requests straight to endpoint instances.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    GatewaySettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-gateway", "relays agent programs' calls to endpoints" };
    RattandeckApp::SettingsSource source;
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema, &source))
        return *exitCode;
    return runDaemon(settings, source);
}
