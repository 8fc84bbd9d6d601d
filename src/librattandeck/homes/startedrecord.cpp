#include "startedrecord.h"

namespace Rattandeck {

TurnRecord startedRecord(const Order& order)
{
    TurnRecord record;
    record.program = order.program.id;
    record.turn = order.turn;
    record.attempt = order.attempt;
    record.epoch = order.epoch;
    record.service = order.service;
    record.key = order.key;
    record.idempotent = order.idempotent;
    record.request = order.request;
    record.input = order.input;
    record.charged = order.reserved;
    record.headBefore = order.headBefore;
    return record;
}

}
