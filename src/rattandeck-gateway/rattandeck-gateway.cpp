// Gateway instance: relays callers' requests straight to endpoint instances.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    GatewaySettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-gateway", "relays agent programs' calls to endpoints" };
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema))
        return *exitCode;
    return runDaemon(settings);
}
