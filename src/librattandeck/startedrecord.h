#pragma once

#include "Rattandeck/messages.h"

namespace Rattandeck {

/// Record of an order whose outcome is not yet known. The reserved maximum counts as charged.
TurnRecord startedRecord(const Order& order);

}
