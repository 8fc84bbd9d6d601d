#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace Rattandeck {

/// Spreads what the platform's store says to processes that it turns away: whoever learns something new offers it to
/// its links, and whoever has not learned it by itself within its patience asks for it. Of two versions of a topic the
/// higher one holds.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class GossipTable {
public:
    struct Settings {
        /// Wait before something offered is asked for, since it mostly comes from the store by itself.
        Milliseconds patience { 0 };
        /// How long a topic that was removed is remembered.
        Milliseconds removalMemory { 60000 };
    };
    using Send = std::function<bool(const NodeId& node, const Message& message)>;
    /// Called with what has come from another process, not with what was posted here.
    using OnNews = std::function<void(const GossipItem& item)>;

    GossipTable(TimerService& timers, Settings settings, Send send, OnNews onNews);
    ~GossipTable();
    GossipTable(const GossipTable&) = delete;
    GossipTable& operator=(const GossipTable&) = delete;

    /// Takes over what this process has learned by itself. Ignored unless its version is new.
    void post(const GossipItem& item);
    /// Posts the removal of a topic, as the version after the one known. Ignored for unknown topics.
    void postRemoval(const std::string& topic);

    void onLinkUp(const NodeId& node);
    void onLinkDown(const NodeId& node);
    /// Other kinds of message are ignored.
    void onMessage(const NodeId& from, const Message& message);

    std::size_t topicCount() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
