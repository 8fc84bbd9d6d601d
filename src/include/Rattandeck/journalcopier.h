#pragma once

#include "Rattandeck/journalmessages.h"

#include <functional>
#include <memory>

namespace Rattandeck {

/// Fetches the turns that are listed in pages of other journals and missing here. A turn that several journals list is
/// fetched from only one of them, and the fetches are distributed among the journals.
///
/// Several requests are under way at a journal, so that a long link is used, with a limit on their bytes, so that other
/// messages on the link don't wait long.
///
/// Thread safety: not synchronised. The functions in `Io` are called from within the member functions.
class JournalCopier {
public:
    struct Io {
        std::function<bool(const TurnId&)> isKnown;
        std::function<void(const NodeId&, const TurnsRequest&)> requestTurns;
        /// Called when each turn that the page lists either has been stored by this journal or has expired at the
        /// journal that sent the page.
        std::function<void(const NodeId&, const CopyPage&)> onCopied;
    };

    explicit JournalCopier(Io io);
    ~JournalCopier();

    /// A new page of a journal replaces its previous page. Turns that the journal was asked for and has not sent are
    /// requested again, from another journal if one lists them.
    void onPage(const NodeId& from, const CopyPage& page);
    /// Precondition: the turns have been applied.
    void onTurns(const NodeId& from, const TurnsPage& page);
    void onLinkDown(const NodeId& node);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
