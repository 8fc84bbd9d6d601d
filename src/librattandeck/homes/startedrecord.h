#pragma once

#include "Rattandeck/messages.h"

namespace Rattandeck {

/// Record of an order whose outcome is not yet known. The reserved maximum is recorded as the charge.
TurnRecord startedRecord(const Order& order);

}
