#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/objects.h"

#include <string_view>

/// Names of enumeration values for logs and status pages.
namespace Rattandeck {

std::string_view describe(ProblemKind kind);
std::string_view describe(RefusalReason reason);
std::string_view describe(RecordState state);
std::string_view describe(Ran ran);
std::string_view describe(ObjectError error);

}
