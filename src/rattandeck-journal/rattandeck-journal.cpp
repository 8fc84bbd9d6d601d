// Journal instance: stores retained turns and token budgets durably on disk.

#include "daemon.h"
#include "RattandeckApp/commandline.h"

int main(int argc, char** argv)
{
    JournalSettings settings;
    RattandeckApp::SettingsSchema schema;
    bindSettings(schema, settings);
    const RattandeckApp::ProgramInfo program { "rattandeck-journal", "keeps retained turns and token budgets on disk" };
    RattandeckApp::SettingsSource source;
    if (const auto exitCode = RattandeckApp::readCommandLine(argc, argv, program, schema, &source))
        return *exitCode;
    return runDaemon(settings, source);
}
