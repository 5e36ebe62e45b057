#include "control_plane.hpp"

#include "celerystile/base/events.hpp"
#include "celerystile/operators/configuration_text.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace celerystile::daemon {

namespace asio = boost::asio;

namespace {

    using base::Event;
    using base::logEvent;
    using base::useNothrowAwaitable;

    constexpr std::chrono::milliseconds tickInterval { 50 };
    /// One rebuild covers many members that fail together.
    constexpr base::Duration rebuildInterval = std::chrono::milliseconds(250);
    constexpr std::chrono::milliseconds platformInterval { 1000 };
    constexpr std::chrono::seconds entryInterval { 5 };
    constexpr base::Duration maxJoinBackoff = std::chrono::seconds(16);
    constexpr std::chrono::milliseconds fetchTimeout { 3000 };
    /// Time to find a peer before the process becomes ready without one.
    constexpr base::Duration standaloneDelay = std::chrono::seconds(2);
    constexpr base::Duration warningInterval = std::chrono::seconds(10);
    constexpr std::size_t maxPlatformReaders = 3;
    constexpr std::uint64_t readerSalt = 0x72656164;
    constexpr std::uint64_t entrySalt = 0x656e7472;
    constexpr double gossipRateShare = 0.5; ///< share of the control rate for sending; the rest is for receiving

    /// Exponential backoff with jitter between reads of the entry points: processes of a fleet may start
    /// simultaneously.
    class JoinBackoff {
    public:
        explicit JoinBackoff(std::uint64_t seed)
            : random_(seed)
        {
        }

        base::Duration next()
        {
            const auto pause = pause_ * (500 + static_cast<int>(random_.below(1000))) / 1000;
            pause_ = std::min(maxJoinBackoff, pause_ * 2);
            return pause;
        }

    private:
        base::Random random_;
        base::Duration pause_ = std::chrono::seconds(1);
    };

    core::GossipOptions makeGossipOptions(const CommonSettings& settings)
    {
        core::GossipOptions options;
        options.bytesPerSecond = settings.controlBytesPerSecond * gossipRateShare;
        return options;
    }

} // namespace

ControlPlane::ControlPlane(
    asio::io_context& context, CommonSettings settings, const base::Clock& clock, RoleHooks& hooks)
    : context_(context)
    , settings_(std::move(settings))
    , clock_(clock)
    , hooks_(hooks)
    , start_(clock.now())
    , gossip_(makeGossipOptions(settings_), settings_.self, settings_.peers, *this, settings_.seed, start_)
    , timer_(context)
    , platformTimer_(context)
    , view_(gossip_.view())
{
    if (settings_.platform)
        platform_.emplace(*settings_.platform, settings_.platformTimeout);
}

base::Result<bool> ControlPlane::start()
{
    auto socket = base::openDatagramSocket(context_, settings_.self.control);
    if (!socket)
        return tl::make_unexpected(socket.error());
    socket_ = std::move(*socket);
    auto requests = base::listen(context_, settings_.self.control);
    if (!requests)
        return tl::make_unexpected(requests.error());
    requests_.emplace(std::move(*requests));
    auto status = base::listen(context_, settings_.status);
    if (!status)
        return tl::make_unexpected(status.error());
    status_.emplace(std::move(*status));
    socket_->start([this](auto bytes, const auto& from) { onDatagram(bytes, from); });
    asio::co_spawn(context_,
        peer::serveRequests(
            *requests_, settings_.keyring, [this](peer::Request request) { return handleRequest(request); }),
        asio::detached);
    asio::co_spawn(context_,
        base::serveHttp(*status_, [this](base::HttpRequest request) { return serveStatus(std::move(request)); }),
        asio::detached);
    asio::co_spawn(context_, runTicks(), asio::detached);
    if (platform_)
        asio::co_spawn(context_, pollPlatform(), asio::detached);
    return true;
}

asio::awaitable<void> ControlPlane::runTicks()
{
    while (!closed_) {
        gossip_.tick(clock_.now());
        rebuildRouting();
        updateReadiness();
        socket_->flush();
        timer_.expires_after(tickInterval);
        co_await timer_.async_wait(useNothrowAwaitable);
    }
}

void ControlPlane::onDatagram(std::span<const std::uint8_t> bytes, const core::Endpoint& from)
{
    const auto now = clock_.now();
    const auto message = peer::decode(bytes, settings_.keyring);
    const auto* gossip = message ? std::get_if<core::GossipMessage>(&*message) : nullptr;
    if (gossip)
        return gossip_.onMessage(*gossip, from, now);
    ++rejected_;
    if (now < nextRejectedWarning_)
        return;
    nextRejectedWarning_ = now + warningInterval;
    logEvent(Event::MessageRejected,
        { { "from", from.toString() }, { "reason", message ? "the message is not gossip" : message.error().detail },
            { "total", std::to_string(rejected_) } });
}

void ControlPlane::send(const core::Endpoint& to, const core::GossipMessage& message)
{
    peer::encode(message, settings_.keyring, buffer_);
    socket_->send(to, buffer_.bytes());
}

void ControlPlane::onNewerGeneration(core::Generation generation, const core::Endpoint& peer)
{
    guard_.recordSeenGeneration(generation);
    if (fetchingText_)
        return;
    fetchingText_ = true;
    asio::co_spawn(context_, fetchText(peer), asio::detached);
}

void ControlPlane::onPaused(base::Duration gap)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
    logEvent(Event::PauseNoticed, { { "milliseconds", std::to_string(milliseconds) } });
}

asio::awaitable<void> ControlPlane::fetchText(core::Endpoint peer)
{
    const auto response = co_await peer::sendRequest(peer, peer::FetchText {}, settings_.keyring, fetchTimeout);
    fetchingText_ = false;
    if (!response)
        co_return;
    if (const auto* text = std::get_if<peer::TextResponse>(&*response))
        applyConfiguration(text->generation, text->text, "peer");
}

void ControlPlane::fetchMembers(const core::Endpoint& peer)
{
    asio::co_spawn(context_, fetchMemberList(peer), asio::detached);
}

asio::awaitable<void> ControlPlane::fetchMemberList(core::Endpoint peer)
{
    const auto response = co_await peer::sendRequest(peer, peer::FetchMembers {}, settings_.keyring, fetchTimeout);
    const auto* members = response ? std::get_if<peer::MembersResponse>(&*response) : nullptr;
    if (members)
        gossip_.onMembersFetched(members->members, clock_.now());
}

asio::awaitable<peer::Response> ControlPlane::handleRequest(peer::Request request)
{
    if (std::holds_alternative<peer::FetchText>(request))
        co_return peer::TextResponse { guard_.current()->generation, guard_.current()->text };
    if (std::holds_alternative<peer::FetchMembers>(request))
        co_return peer::MembersResponse { gossip_.allMembers() };
    co_return co_await hooks_.handOver(std::get<peer::TakeOver>(request).host);
}

void ControlPlane::applyConfiguration(core::Generation generation, const std::string& text, const char* source)
{
    if (generation == 0)
        return;
    auto configuration = operators::parseConfigurationText(text, generation);
    if (!configuration) {
        logEvent(Event::ConfigurationUnreadable,
            { { "generation", std::to_string(generation) }, { "source", source },
                { "mistake", configuration.error().front().toString() } });
        return;
    }
    const auto outcome = guard_.apply(std::make_shared<const core::Configuration>(std::move(*configuration)));
    switch (outcome) {
    case core::ApplyOutcome::Applied:
        gossip_.setGeneration(generation);
        logEvent(Event::ConfigurationApplied, { { "generation", std::to_string(generation) }, { "source", source } });
        routing_.reset();
        rebuildRouting();
        break;
    case core::ApplyOutcome::AlreadyApplied:
        break;
    case core::ApplyOutcome::Older:
        if (warnedGeneration_ != generation)
            logEvent(Event::ConfigurationOlder,
                { { "offered", std::to_string(generation) },
                    { "highest_seen", std::to_string(guard_.highestSeenGeneration()) }, { "source", source } });
        warnedGeneration_ = generation;
        break;
    case core::ApplyOutcome::Conflicting:
        if (warnedGeneration_ != generation)
            logEvent(
                Event::ConfigurationRefused, { { "generation", std::to_string(generation) }, { "source", source } });
        warnedGeneration_ = generation;
        break;
    }
}

void ControlPlane::rebuildRouting()
{
    const auto now = clock_.now();
    if (routing_ && now < nextRebuild_)
        return;
    auto view = gossip_.view();
    if (view == view_ && routing_)
        return;
    nextRebuild_ = now + rebuildInterval;
    logChanges(*view_, *view);
    view_ = std::move(view);
    core::CandidateOptions options;
    options.acceptingHosts = settings_.candidates;
    auto next = core::buildRouting(*guard_.current(), *view_, options, settings_.self.services, routing_);
    if (next != routing_) {
        routing_ = std::move(next);
        hooks_.onRouting(routing_);
    }
    warnAboutDependencies();
}

void ControlPlane::logChanges(const core::View& before, const core::View& after)
{
    for (const auto& member : after.members) {
        const auto old = std::lower_bound(before.members.begin(), before.members.end(), member,
            [](const core::Member& a, const core::Member& b) { return a.id < b.id; });
        const bool known = old != before.members.end() && old->id == member.id;
        if (known && old->state == member.state)
            continue;
        auto event = Event::MemberChanged;
        if (member.state == core::MemberState::Failed)
            event = Event::MemberFailed;
        if (member.state == core::MemberState::Unreachable)
            event = Event::MemberUnreachable;
        logEvent(event,
            { { "member", std::to_string(member.id) }, { "role", std::string(toString(member.role)) },
                { "control", member.control.toString() }, { "state", std::string(toString(member.state)) },
                { "failure_domain", member.failureDomain } });
        const bool refused = member.role == core::Role::Sidecar && guard_.current()->generation > 0
            && std::any_of(member.services.begin(), member.services.end(),
                [&](core::ServiceId id) { return !guard_.current()->allows(id, member.traffic.address); });
        if (refused)
            logEvent(Event::AnnouncementRefused,
                { { "member", std::to_string(member.id) }, { "traffic", member.traffic.toString() } });
    }
}

void ControlPlane::warnAboutDependencies()
{
    const auto now = clock_.now();
    if (!settings_.self.services.empty() || !readyAnnounced_ || now < nextDependencyWarning_)
        return;
    nextDependencyWarning_ = now + warningInterval;
    for (const auto& service : guard_.current()->services) {
        for (const auto& name : service.dependsOn) {
            const auto* dependency = guard_.current()->find(std::string_view(name));
            const auto* route = dependency ? routing_->find(dependency->address) : nullptr;
            const bool hasHost = route
                && std::any_of(route->table.hosts().begin(), route->table.hosts().end(),
                    [](const core::ServiceHost& host) { return host.state == core::MemberState::Ready; });
            if (!hasHost)
                logEvent(Event::DependencyWithoutHost, { { "service", service.name }, { "needs", name } });
        }
    }
}

bool ControlPlane::ready() const
{
    const bool newest
        = guard_.current()->generation > 0 && guard_.current()->generation >= guard_.highestSeenGeneration();
    const bool standalone = clock_.now() - start_ >= standaloneDelay && platformWasAvailable_;
    return readyAnnounced_ || (newest && (gossip_.joined() || standalone));
}

void ControlPlane::updateReadiness()
{
    if (readyAnnounced_ || leaving_ || !ready())
        return;
    readyAnnounced_ = true;
    gossip_.setOwnState(core::MemberState::Ready);
    logEvent(Event::Ready, { { "generation", std::to_string(guard_.current()->generation) } });
    routing_.reset(); // forces onRouting() even if the snapshot is unchanged
    rebuildRouting();
}

void ControlPlane::beginLeaving()
{
    leaving_ = true;
    gossip_.setOwnState(core::MemberState::Leaving);
    gossip_.tick(clock_.now());
    rebuildRouting();
    socket_->flush();
}

void ControlPlane::leave()
{
    gossip_.setOwnState(core::MemberState::Left);
    // Sends several copies: the process ends before the regular gossip could repeat a lost one.
    constexpr int copies = 8;
    for (int i = 0; i < copies; ++i)
        gossip_.tick(clock_.now() + i * std::chrono::milliseconds(300));
    socket_->flush();
    closed_ = true;
    timer_.cancel();
    platformTimer_.cancel();
    socket_->close();
    boost::system::error_code ignored;
    requests_->close(ignored);
    status_->close(ignored);
}

std::vector<core::MemberId> ControlPlane::selectBalancers(std::size_t count, std::uint64_t salt) const
{
    std::vector<core::MemberId> ids;
    for (const auto& member : view_->members) {
        if (member.role == core::Role::Balancer && member.state == core::MemberState::Ready)
            ids.push_back(member.id);
    }
    std::sort(ids.begin(), ids.end(),
        [&](core::MemberId a, core::MemberId b) { return base::mix(a ^ salt) < base::mix(b ^ salt); });
    if (ids.size() > count)
        ids.resize(count);
    return ids;
}

asio::awaitable<void> ControlPlane::pollPlatform()
{
    auto nextEntry = clock_.now();
    auto nextJoinAttempt = nextEntry;
    JoinBackoff joinBackoff(settings_.seed);
    while (!closed_) {
        const auto readers = selectBalancers(maxPlatformReaders, readerSalt);
        const bool chosen = std::find(readers.begin(), readers.end(), settings_.self.id) != readers.end();
        const bool joining = !readyAnnounced_ && !leaving_;
        if (joining && !gossip_.joined() && clock_.now() >= nextJoinAttempt) {
            co_await joinThroughPlatform();
            nextJoinAttempt = clock_.now() + joinBackoff.next();
        }
        if (chosen || (joining && guard_.current()->generation == 0))
            co_await readPlatform();
        if (!closed_ && readyAnnounced_ && clock_.now() >= nextEntry) {
            nextEntry = clock_.now() + entryInterval;
            co_await holdEntrySlots();
        }
        if (closed_)
            co_return;
        platformTimer_.expires_after(platformInterval);
        co_await platformTimer_.async_wait(useNothrowAwaitable);
    }
}

asio::awaitable<void> ControlPlane::joinThroughPlatform()
{
    const auto endpoints = co_await platform_->entryPoints();
    recordPlatformHealth(endpoints.has_value(), endpoints ? "" : endpoints.error().detail);
    if (endpoints)
        gossip_.addEntryPoints(*endpoints);
}

asio::awaitable<void> ControlPlane::readPlatform()
{
    const auto current = co_await platform_->readCurrent();
    const bool unreadable = !current && current.error().code == base::ErrorCode::Malformed;
    if (unreadable)
        logEvent(Event::ConfigurationUnreadable, { { "source", "platform" }, { "mistake", current.error().detail } });
    recordPlatformHealth(current.has_value() || unreadable, current ? "" : current.error().detail);
    if (current && current->record)
        applyConfiguration(current->record->generation, current->record->text, "platform");
}

asio::awaitable<void> ControlPlane::holdEntrySlots()
{
    const auto holders = selectBalancers(store::entrySlots, entrySalt);
    for (std::size_t slot = 0; slot < holders.size(); ++slot) {
        if (holders[slot] != settings_.self.id || closed_)
            continue;
        const auto held = co_await platform_->acquireOrRenewEntrySlot(slot, settings_.self.control);
        recordPlatformHealth(held.has_value(), held ? "" : held.error().detail);
    }
}

void ControlPlane::recordPlatformHealth(bool available, const std::string& detail)
{
    platformWasAvailable_ = platformWasAvailable_ || available;
    if (available && platformDown_)
        logEvent(Event::PlatformBack);
    if (!available && !platformDown_)
        logEvent(Event::PlatformUnavailable, { { "reason", detail } });
    platformDown_ = !available;
}

} // namespace celerystile::daemon
