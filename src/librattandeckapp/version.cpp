#include "RattandeckApp/version.h"

namespace RattandeckApp {

std::string_view version() { return RATTANDECK_VERSION; }

}
