#pragma once

#include <string_view>

/// What the programs share above the network: settings, logs, metrics.
namespace RattandeckApp {

/// Version of this build, such as "0.1.0".
std::string_view version();

}
