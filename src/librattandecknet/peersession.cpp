#include "peersession.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace RattandeckNet {

constexpr std::int32_t windowBytes = 16 * 1024 * 1024;
constexpr std::size_t prefixBytes = 4;
/// Consumed bytes at the front of a buffer are erased only beyond this size.
constexpr std::size_t compactBytes = 1024UL * 1024;
/// Memory that a buffer keeps while it is empty.
constexpr std::size_t maxIdleBufferBytes = 4096;
constexpr std::string_view linkPath = "/rattandeck/link";
constexpr std::string_view linkNumberHeader = "rattandeck-link-number";

namespace {

    /// FIFO byte buffer.
    struct ByteQueue {
        std::string bytes;
        std::size_t taken = 0;

        std::size_t size() const { return this->bytes.size() - this->taken; }
        std::string_view view() const { return std::string_view(this->bytes).substr(this->taken); }
        void take(std::size_t count)
        {
            this->taken += count;
            // Moves at most as many bytes as were taken since the last erase, so the amortised cost per byte is
            // constant.
            if (this->taken >= this->size() && (this->size() == 0 || this->taken > compactBytes)) {
                this->bytes.erase(0, this->taken);
                this->taken = 0;
            }
            if (this->bytes.empty())
                releaseIfLarge(this->bytes);
        }
    };

}

struct PeerSession::Impl {
    Side side = Side::Dialler;
    std::uint64_t linkNumber = 0;
    std::size_t maxMessageBytes = 0;
    nghttp2_session* session = nullptr;
    std::int32_t stream = -1;
    bool hasEnded = false;
    bool isFinishing = false;
    ByteQueue incoming;
    ByteQueue outgoing;

    ~Impl() { nghttp2_session_del(this->session); }
    std::size_t expectedBytes() const;
    /// Returns the capacity that the buffer of incoming bytes needs for `more` bytes, or 0 if it has it.
    std::size_t capacityFor(std::size_t more) const;
    void openStream();
    void acceptStream(std::int32_t id);
    nghttp2_data_provider provider();
};

std::size_t PeerSession::Impl::expectedBytes() const
{
    const std::string_view received = this->incoming.view();
    if (received.size() < prefixBytes)
        return 0;
    std::size_t length = 0;
    for (std::size_t i = 0; i < prefixBytes; ++i)
        length = length << 8U | static_cast<unsigned char>(received[i]);
    return length;
}

/// The buffer doubles, but not beyond the message that is being received.
std::size_t PeerSession::Impl::capacityFor(std::size_t more) const
{
    const std::size_t needed = this->incoming.bytes.size() + more;
    const std::size_t capacity = this->incoming.bytes.capacity();
    if (needed <= capacity)
        return 0;
    const std::size_t whole = this->incoming.taken + prefixBytes + this->expectedBytes();
    return std::max(needed, std::min(2 * capacity, whole));
}

// Callbacks of nghttp2 -------------------------------------------------------------------------------------------

static PeerSession::Impl& toImpl(void* userData) { return *static_cast<PeerSession::Impl*>(userData); }

static ssize_t readOutgoing(nghttp2_session*, std::int32_t, std::uint8_t* target, std::size_t length,
    std::uint32_t* flags, nghttp2_data_source*, void* userData)
{
    PeerSession::Impl& link = toImpl(userData);
    const std::size_t count = std::min(length, link.outgoing.size());
    if (count == 0 && !link.isFinishing)
        return NGHTTP2_ERR_DEFERRED;
    std::memcpy(target, link.outgoing.view().data(), count);
    link.outgoing.take(count);
    if (link.isFinishing && link.outgoing.size() == 0)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(count);
}

static int onData(
    nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t length, void* userData)
{
    PeerSession::Impl& link = toImpl(userData);
    if (stream != link.stream)
        return 0;
    if (const std::size_t capacity = link.capacityFor(length))
        link.incoming.bytes.reserve(capacity);
    link.incoming.bytes.append(reinterpret_cast<const char*>(data), length);
    return 0;
}

static int onHeader(nghttp2_session*, const nghttp2_frame*, const std::uint8_t* name, std::size_t nameLength,
    const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* userData)
{
    PeerSession::Impl& link = toImpl(userData);
    const std::string_view header(reinterpret_cast<const char*>(name), nameLength);
    if (link.side != PeerSession::Side::Acceptor || header != linkNumberHeader)
        return 0;
    const char* digits = reinterpret_cast<const char*>(value);
    std::from_chars(digits, digits + valueLength, link.linkNumber);
    return 0;
}

static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* userData)
{
    PeerSession::Impl& link = toImpl(userData);
    const bool isRequest = frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    if (isRequest && link.stream < 0)
        link.acceptStream(frame->hd.stream_id);
    const bool endsStream = frame->hd.type == NGHTTP2_DATA && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (endsStream || frame->hd.type == NGHTTP2_GOAWAY)
        link.hasEnded = true;
    return 0;
}

static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* userData)
{
    PeerSession::Impl& link = toImpl(userData);
    if (stream == link.stream)
        link.hasEnded = true;
    return 0;
}

// Stream -----------------------------------------------------------------------------------------------------------

static nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 copies names and values but takes them as pointers to mutable bytes.
    const auto bytes = [](std::string_view text) {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
    };
    return { bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
}

nghttp2_data_provider PeerSession::Impl::provider()
{
    nghttp2_data_provider source {};
    source.read_callback = readOutgoing;
    return source;
}

void PeerSession::Impl::openStream()
{
    const std::string number = std::to_string(this->linkNumber);
    const std::array headers = { header(":method", "POST"), header(":scheme", "http"), header(":path", linkPath),
        header(":authority", "rattandeck"), header(linkNumberHeader, number) };
    const auto source = this->provider();
    this->stream = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &source, nullptr);
}

void PeerSession::Impl::acceptStream(std::int32_t id)
{
    this->stream = id;
    const std::array headers = { header(":status", "200") };
    const auto source = this->provider();
    nghttp2_submit_response(this->session, id, headers.data(), headers.size(), &source);
}

// PeerSession ------------------------------------------------------------------------------------------------------

PeerSession::PeerSession(Side side, std::uint64_t linkNumber, std::size_t maxMessageBytes)
    : impl(std::make_unique<Impl>())
{
    this->impl->side = side;
    this->impl->linkNumber = linkNumber;
    this->impl->maxMessageBytes = maxMessageBytes;

    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    if (side == Side::Dialler)
        nghttp2_session_client_new(&this->impl->session, callbacks, this->impl.get());
    else
        nghttp2_session_server_new(&this->impl->session, callbacks, this->impl.get());
    nghttp2_session_callbacks_del(callbacks);

    const std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, windowBytes },
    } };
    nghttp2_submit_settings(this->impl->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->impl->session, NGHTTP2_FLAG_NONE, 0, windowBytes);
    if (side == Side::Dialler)
        this->impl->openStream();
}

PeerSession::~PeerSession() = default;

void releaseIfLarge(std::string& buffer)
{
    // Assigning an empty string would keep the memory.
    if (buffer.capacity() > maxIdleBufferBytes)
        std::string().swap(buffer);
}

bool PeerSession::receive(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const ssize_t used = nghttp2_session_mem_recv(this->impl->session, data, bytes.size());
    return used == static_cast<ssize_t>(bytes.size()) && !this->impl->hasEnded;
}

PeerSession::Next PeerSession::nextMessage(std::string& message)
{
    const std::string_view received = this->impl->incoming.view();
    if (received.size() < prefixBytes)
        return Next::None;
    const std::size_t length = this->impl->expectedBytes();
    if (length > this->impl->maxMessageBytes)
        return Next::TooLong;
    if (received.size() < prefixBytes + length)
        return Next::None;
    message.assign(received.substr(prefixBytes, length));
    this->impl->incoming.take(prefixBytes + length);
    return Next::Message;
}

void PeerSession::queue(std::string_view message)
{
    std::string& bytes = this->impl->outgoing.bytes;
    for (std::size_t i = prefixBytes; i > 0; --i)
        bytes += static_cast<char>(message.size() >> 8U * (i - 1) & 0xffU);
    bytes += message;
    if (this->impl->stream >= 0)
        nghttp2_session_resume_data(this->impl->session, this->impl->stream);
}

void PeerSession::ping() { nghttp2_submit_ping(this->impl->session, NGHTTP2_FLAG_NONE, nullptr); }

void PeerSession::finish()
{
    this->impl->isFinishing = true;
    if (this->impl->stream >= 0)
        nghttp2_session_resume_data(this->impl->session, this->impl->stream);
}

bool PeerSession::takeOutput(std::string& output, std::size_t limit)
{
    while (output.size() < limit) {
        const std::uint8_t* data = nullptr;
        const ssize_t count = nghttp2_session_mem_send(this->impl->session, &data);
        if (count < 0)
            return false;
        if (count == 0)
            break;
        output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(count));
    }
    return true;
}

std::size_t PeerSession::incomingBytes() const { return this->impl->incoming.size(); }

std::size_t PeerSession::expectedBytes() const { return this->impl->expectedBytes(); }

std::size_t PeerSession::bufferBytes() const
{
    return this->impl->incoming.bytes.capacity() + this->impl->outgoing.bytes.capacity();
}

std::size_t PeerSession::growthFor(std::size_t bytes) const { return this->impl->capacityFor(bytes); }

std::size_t PeerSession::queuedBytes() const { return this->impl->outgoing.size(); }

std::uint64_t PeerSession::linkNumber() const { return this->impl->linkNumber; }

}
