#include "disk.h"

#include "RattandeckApp/log.h"

#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace Rattandeck;
using namespace RattandeckApp;

namespace {

// Records --------------------------------------------------------------------------------------------------------

/// Precedes each record: the length and the checksum of its bytes, little endian.
struct RecordHeader {
    std::uint32_t length = 0;
    std::uint32_t reserved = 0;
    std::uint64_t checksum = 0;
};

constexpr std::size_t maxRecordBytes = 16UL * 1024 * 1024;

void appendRecord(std::string& output, const std::string& bytes)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(bytes.size());
    header.checksum = XXH3_64bits(bytes.data(), bytes.size());
    output.append(reinterpret_cast<const char*>(&header), sizeof(header));
    output += bytes;
}

/// The payload of the record at `at`; nothing when it is truncated or corrupt.
std::optional<std::string_view> payloadAt(std::string_view segment, std::size_t at)
{
    RecordHeader header;
    if (at + sizeof(header) > segment.size())
        return std::nullopt;
    std::memcpy(&header, segment.data() + at, sizeof(header));
    const std::size_t start = at + sizeof(header);
    if (header.length == 0 || header.length > maxRecordBytes || start + header.length > segment.size())
        return std::nullopt;
    const std::string_view bytes = segment.substr(start, header.length);
    if (XXH3_64bits(bytes.data(), bytes.size()) != header.checksum)
        return std::nullopt;
    return bytes;
}

/// Calls `onPayload` for each record up to the first truncated or corrupt one. Returns whether the segment contains
/// only intact records.
bool readPayloads(
    std::string_view segment, const std::function<void(std::string_view payload, std::size_t at)>& onPayload)
{
    std::size_t at = 0;
    while (const auto payload = payloadAt(segment, at)) {
        onPayload(*payload, at);
        at += sizeof(RecordHeader) + payload->size();
    }
    return at == segment.size();
}

// Files ------------------------------------------------------------------------------------------------------------

constexpr std::string_view segmentPrefix = "segment-";

std::string segmentPath(const std::string& folder, JournalDisk::SegmentNumber number)
{
    std::string digits = std::to_string(number);
    constexpr std::size_t width = 12;
    digits.insert(0, width - std::min(width, digits.size()), '0');
    return folder + "/" + std::string(segmentPrefix) + digits;
}

std::vector<JournalDisk::SegmentNumber> listSegments(const std::string& folder)
{
    std::vector<JournalDisk::SegmentNumber> numbers;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        const std::string name = entry.path().filename().string();
        if (name.starts_with(segmentPrefix))
            numbers.push_back(std::strtoull(name.c_str() + segmentPrefix.size(), nullptr, 10));
    }
    std::ranges::sort(numbers);
    return numbers;
}

std::optional<std::string> readFile(const std::string& path)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(path, error);
    std::ifstream file(path, std::ios::binary);
    if (error || !file)
        return std::nullopt;
    std::string bytes(size, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(size));
    bytes.resize(static_cast<std::size_t>(std::max<std::streamsize>(file.gcount(), 0)));
    return bytes;
}

}

// Writer -------------------------------------------------------------------------------------------------------------

struct JournalDisk::Impl {
    Impl(RattandeckNet::EventLoop& loop, std::string folder, Limits limits)
        : loop(loop)
        , folder(std::move(folder))
        , limits(limits)
        , quota(this->folder)
    {
    }

    RattandeckNet::EventLoop& loop;
    std::string folder;
    Limits limits;
    FolderQuota quota;

    /// A turn in a batch, with the offset of its record there and the length of the record including its header.
    struct TurnInBatch {
        TurnId turn;
        std::size_t begin = 0;
        std::size_t length = 0;
    };

    /// Work that the writer thread does in one step, in the order of the members.
    struct Batch {
        std::string bytes;
        std::vector<TurnInBatch> turns;
        std::vector<SegmentNumber> segmentsToRemove;
        /// Called on the loop once `bytes` are synced.
        std::vector<std::function<void()>> callbacks;

        /// Keeps the memory of `bytes` for the next batch.
        void clear()
        {
            this->bytes.clear();
            this->turns.clear();
            this->segmentsToRemove.clear();
            this->callbacks.clear();
        }
    };

    /// Called on the loop. Shared with the tasks that are posted there, which may outlive this object.
    std::shared_ptr<OnTurnWritten> onTurnWritten = std::make_shared<OnTurnWritten>();
    std::shared_ptr<OnWritable> onWritable = std::make_shared<OnWritable>();

    // Used by the loop's thread only
    std::map<SegmentNumber, int> openForReading;
    RecordDecoder decoder;

    // Shared with the writer thread, guarded by `mutex`
    std::mutex mutex;
    std::condition_variable workAvailable;
    Batch pending;
    /// Removed without waiting for a write.
    std::vector<SegmentNumber> expiredSegments;
    bool isStopping = false;
    Stats stats;

    std::atomic<SegmentNumber> current { 0 };

    // Used by the writer thread only
    int descriptor = -1;
    SegmentNumber openNumber = 0;
    /// Bytes of the open segment that are synced.
    std::size_t segmentBytes = 0;
    std::chrono::steady_clock::time_point segmentOpened;
    std::thread writer;

    /// Precondition: `mutex` is held, or the writer thread has not been started.
    void appendPending(const JournalRecord& record);
    void postWritten(std::vector<TurnInBatch> turns, std::size_t batchBytes);
    void postCallbacks(std::vector<std::function<void()>> callbacks);
    int descriptorFor(SegmentNumber number);
    std::vector<SegmentNumber> closeBefore(SegmentNumber number);
    bool hasWork() const
    {
        return !this->pending.bytes.empty() || !this->pending.callbacks.empty()
            || !this->pending.segmentsToRemove.empty() || !this->expiredSegments.empty();
    }
    void run();
    bool openSegment();
    void closeSegment();
    /// Takes back what a failed write has left in the open segment, and closes it. On a full disk its room is needed,
    /// and what was not synced must not be read after a restart as if it were durable.
    void discardFailedWrite();
    void postWritable(bool isWritable);
    bool writeBatch(const std::string& batch);
    /// Repeats failed writes. Returns false if the disk is being closed meanwhile.
    bool writeUntilSynced(const std::string& bytes);
    void removeSegments(const std::vector<SegmentNumber>& numbers) const;
};

bool JournalDisk::Impl::openSegment()
{
    const SegmentNumber number = this->current.load() + 1;
    this->descriptor = openForWriting(segmentPath(this->folder, number), O_TRUNC | O_APPEND, this->quota);
    if (this->descriptor < 0)
        return false;
    this->openNumber = number;
    this->segmentBytes = 0;
    this->segmentOpened = std::chrono::steady_clock::now();
    return syncFolder(this->folder);
}

void JournalDisk::Impl::closeSegment()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
    this->descriptor = -1;
}

bool JournalDisk::Impl::writeBatch(const std::string& batch)
{
    const bool isSegmentOld = std::chrono::steady_clock::now() - this->segmentOpened > this->limits.segmentAge;
    if (this->descriptor >= 0 && (isSegmentOld || this->segmentBytes > this->limits.segmentBytes))
        this->closeSegment();
    if (this->descriptor < 0 && !this->openSegment())
        return false;
    if (!writeAll(this->descriptor, batch, this->quota) || fdatasync(this->descriptor) != 0)
        return false;
    this->segmentBytes += batch.size();
    this->current.store(this->openNumber);
    return true;
}

void JournalDisk::Impl::discardFailedWrite()
{
    if (this->descriptor < 0)
        return;
    if (ftruncate(this->descriptor, static_cast<off_t>(this->segmentBytes)) != 0)
        this->loop.post([error = errno] { logError("disk", std::string("truncation: ") + std::strerror(error)); });
    this->closeSegment();
    if (this->segmentBytes == 0)
        unlink(segmentPath(this->folder, this->openNumber).c_str());
}

void JournalDisk::Impl::postWritable(bool isWritable)
{
    this->loop.post([handler = this->onWritable, isWritable] {
        if (*handler)
            (*handler)(isWritable);
    });
}

void JournalDisk::Impl::removeSegments(const std::vector<SegmentNumber>& numbers) const
{
    for (const SegmentNumber number : numbers)
        unlink(segmentPath(this->folder, number).c_str());
}

/// Posts the locations of the turns in the batch just written to the loop.
void JournalDisk::Impl::postWritten(std::vector<TurnInBatch> turns, std::size_t batchBytes)
{
    if (turns.empty())
        return;
    const SegmentNumber segment = this->current.load();
    const std::size_t base = this->segmentBytes - batchBytes;
    this->loop.post([handler = this->onTurnWritten, segment, base, turns = std::move(turns)] {
        for (const TurnInBatch& each : turns)
            (*handler)(each.turn, { segment, base + each.begin, static_cast<std::uint32_t>(each.length) });
    });
}

void JournalDisk::Impl::postCallbacks(std::vector<std::function<void()>> callbacks)
{
    if (callbacks.empty())
        return;
    this->loop.post([callbacks = std::move(callbacks)] {
        for (const auto& callback : callbacks)
            callback();
    });
}

void JournalDisk::Impl::appendPending(const JournalRecord& record)
{
    const std::size_t begin = this->pending.bytes.size();
    appendRecord(this->pending.bytes, encodeRecord(record));
    if (const auto* turn = std::get_if<RetainedTurn>(&record))
        this->pending.turns.push_back({ turn->id, begin, this->pending.bytes.size() - begin });
    ++this->stats.records;
}

int JournalDisk::Impl::descriptorFor(SegmentNumber number)
{
    const auto known = this->openForReading.find(number);
    if (known != this->openForReading.end())
        return known->second;
    const int opened = ::open(segmentPath(this->folder, number).c_str(), O_RDONLY | O_CLOEXEC);
    if (opened >= 0)
        this->openForReading.emplace(number, opened);
    return opened;
}

bool JournalDisk::Impl::writeUntilSynced(const std::string& bytes)
{
    bool hasFailed = false;
    while (!bytes.empty() && !this->writeBatch(bytes)) {
        const int error = errno;
        // The batch may have been written partially, and recovery reads nothing after a torn record, so the batch is
        // written again to a new segment.
        this->discardFailedWrite();
        if (!hasFailed) {
            this->loop.post([error] { logError("disk refused a write", std::strerror(error)); });
            this->postWritable(false);
        }
        hasFailed = true;
        std::this_thread::sleep_for(this->limits.retryDelay);
        const std::lock_guard guard(this->mutex);
        ++this->stats.failures;
        if (this->isStopping)
            return false;
        this->removeSegments(std::exchange(this->expiredSegments, {}));
    }
    if (hasFailed)
        this->postWritable(true);
    return true;
}

void JournalDisk::Impl::run()
{
    Batch batch;
    std::unique_lock lock(this->mutex);
    while (true) {
        this->workAvailable.wait(lock, [this] { return this->isStopping || this->hasWork(); });
        if (!this->hasWork())
            return;
        std::swap(batch, this->pending);
        const std::vector<SegmentNumber> expired = std::exchange(this->expiredSegments, {});
        lock.unlock();
        this->removeSegments(expired);
        if (!this->writeUntilSynced(batch.bytes))
            return;
        this->postWritten(std::move(batch.turns), batch.bytes.size());
        this->removeSegments(batch.segmentsToRemove);
        this->postCallbacks(std::move(batch.callbacks));
        lock.lock();
        ++this->stats.syncs;
        this->stats.bytes += batch.bytes.size();
        batch.clear();
    }
}

// Public -------------------------------------------------------------------------------------------------------------

JournalDisk::JournalDisk(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

tl::expected<std::unique_ptr<JournalDisk>, JournalDisk::Error> JournalDisk::open(RattandeckNet::EventLoop& loop,
    const std::string& folder, Limits limits, const std::function<void(RecoveredRecord)>& onRecord,
    RecoveryStats& recoveryStats)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        return tl::unexpected(Error::CannotOpenFolder);
    auto impl = std::make_unique<Impl>(loop, folder, limits);
    const std::vector<SegmentNumber> segments = listSegments(folder);
    for (const SegmentNumber number : segments) {
        const auto bytes = readFile(segmentPath(folder, number));
        if (!bytes)
            return tl::unexpected(Error::CannotReadSegment);
        ++recoveryStats.segments;
        // Only the last segment may contain unsynced records: the others were closed after their last sync.
        const bool isLast = number == segments.back();
        const bool mustRewrite = isLast && !(limits.syncFile(segmentPath(folder, number)) && syncFolder(folder));
        const auto recover
            = [&impl, &onRecord, &recoveryStats, number, mustRewrite](std::string_view payload, std::size_t at) {
                  const DiskLocation location { number, at,
                      static_cast<std::uint32_t>(sizeof(RecordHeader) + payload.size()) };
                  if (mustRewrite) {
                      auto record = impl->decoder.decode(payload);
                      if (!record)
                          return;
                      impl->appendPending(*record);
                      ++recoveryStats.rewrittenRecords;
                      std::visit([&onRecord](auto& each) { onRecord(std::move(each)); }, *record);
                  } else if (auto record = impl->decoder.decodeHead(payload, location)) {
                      onRecord(std::move(*record));
                  }
                  ++recoveryStats.records;
              };
        if (!readPayloads(*bytes, recover))
            ++recoveryStats.tornSegments;
        impl->current.store(number);
    }
    Impl* writer = impl.get();
    impl->writer = std::thread([writer] { writer->run(); });
    return std::unique_ptr<JournalDisk>(new JournalDisk(std::move(impl)));
}

JournalDisk::~JournalDisk()
{
    {
        const std::lock_guard guard(this->impl->mutex);
        this->impl->isStopping = true;
    }
    this->impl->workAvailable.notify_one();
    this->impl->writer.join();
    this->impl->closeSegment();
    for (const auto& [number, descriptor] : this->impl->openForReading)
        close(descriptor);
}

void JournalDisk::append(const JournalRecord& record)
{
    {
        const std::lock_guard guard(this->impl->mutex);
        this->impl->appendPending(record);
    }
    this->impl->workAvailable.notify_one();
}

void JournalDisk::setOnTurnWritten(OnTurnWritten handler) { *this->impl->onTurnWritten = std::move(handler); }

void JournalDisk::setOnWritable(OnWritable handler) { *this->impl->onWritable = std::move(handler); }

FolderQuota& JournalDisk::quota() { return this->impl->quota; }

std::optional<RetainedTurn> JournalDisk::read(const DiskLocation& location)
{
    const int descriptor = this->impl->descriptorFor(location.segment);
    if (descriptor < 0)
        return std::nullopt;
    std::string bytes(location.length, '\0');
    const ssize_t size = pread(descriptor, bytes.data(), bytes.size(), static_cast<off_t>(location.offset));
    if (size != static_cast<ssize_t>(bytes.size()))
        return std::nullopt;
    const auto payload = payloadAt(bytes, 0);
    auto record = payload ? this->impl->decoder.decode(*payload) : std::nullopt;
    if (!record || !std::holds_alternative<RetainedTurn>(*record))
        return std::nullopt;
    return std::get<RetainedTurn>(std::move(*record));
}

void JournalDisk::sync(std::function<void()> onDurable)
{
    {
        const std::lock_guard guard(this->impl->mutex);
        this->impl->pending.callbacks.push_back(std::move(onDurable));
    }
    this->impl->workAvailable.notify_one();
}

JournalDisk::SegmentNumber JournalDisk::currentSegment() const { return this->impl->current.load(); }

/// The segments before `number`, which are no longer read.
std::vector<JournalDisk::SegmentNumber> JournalDisk::Impl::closeBefore(SegmentNumber number)
{
    std::erase_if(this->openForReading, [number](const auto& open) {
        if (open.first < number)
            close(open.second);
        return open.first < number;
    });
    std::vector<SegmentNumber> segments = listSegments(this->folder);
    std::erase_if(segments, [number](SegmentNumber segment) { return segment >= number; });
    return segments;
}

void JournalDisk::removeBefore(SegmentNumber number)
{
    const std::vector<SegmentNumber> segments = this->impl->closeBefore(number);
    {
        const std::lock_guard guard(this->impl->mutex);
        std::ranges::copy(segments, std::back_inserter(this->impl->pending.segmentsToRemove));
    }
    this->impl->workAvailable.notify_one();
}

void JournalDisk::removeExpiredBefore(SegmentNumber number)
{
    const std::vector<SegmentNumber> segments = this->impl->closeBefore(number);
    {
        const std::lock_guard guard(this->impl->mutex);
        std::ranges::copy(segments, std::back_inserter(this->impl->expiredSegments));
    }
    this->impl->workAvailable.notify_one();
}

JournalDisk::Stats JournalDisk::stats() const
{
    const std::lock_guard guard(this->impl->mutex);
    return this->impl->stats;
}
