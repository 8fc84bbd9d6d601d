#pragma once

#include "Rattandeck/journalmessages.h"

#include <functional>
#include <memory>

namespace Rattandeck {

/// Fetches the turns that pages of other journals name and this one lacks. A turn that several journals name is fetched
/// from one of them; what is to be fetched is shared out among them.
///
/// Thread safety: not synchronised. The functions given are called from within the calls below.
class JournalCopier {
public:
    struct Io {
        std::function<bool(const TurnId&)> isKnown;
        std::function<void(const NodeId&, const TurnsRequest&)> requestTurns;
        /// Every turn that the page names is known now, or its sender no longer has it.
        std::function<void(const NodeId&, const CopyPage&)> onCopied;
    };

    explicit JournalCopier(Io io);
    ~JournalCopier();

    /// A later page of the same journal takes the place of an earlier one.
    void onPage(const NodeId& from, const CopyPage& page);
    /// Precondition: the turns have been applied.
    void onTurns(const NodeId& from);
    void onLinkDown(const NodeId& node);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
