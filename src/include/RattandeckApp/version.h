#pragma once

#include <string_view>

/// Code that the programs share above the network layer: settings, logs and metrics.
namespace RattandeckApp {

/// Version of this build, such as "0.1.0".
std::string_view version();

}
