#include "celerystile/fleet/link_scheduler.hpp"

#include "link_model.hpp"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

namespace celerystile::fleet {

namespace {

    using namespace testing;
    using std::chrono::seconds;

    constexpr double slowLink = 10; // Mbit/s
    constexpr std::uint32_t payload = 1'200;

    /// A scheduler whose packets carry their number of arrival.
    struct Fixture : LinkOutput {
        struct Passed {
            core::Segment segment;
            std::size_t number;
        };

        explicit Fixture(LinkOptions options = makeLinkOptions(slowLink))
            : scheduler(options, *this)
        {
        }

        void pass(const core::Segment& segment, core::Bytes packet, base::TimePoint) override
        {
            std::size_t number = 0;
            std::copy_n(packet.begin(), sizeof(number), reinterpret_cast<std::uint8_t*>(&number));
            passed.push_back({ segment, number });
        }
        void recordLinkWait(bool waiting, std::size_t) override { records.push_back(waiting); }

        void offer(const core::Segment& segment, std::uint32_t priority = 0)
        {
            std::vector<std::uint8_t> packet(32 + segment.payloadBytes);
            std::copy_n(reinterpret_cast<const std::uint8_t*>(&offered), sizeof(offered), packet.begin());
            ++offered;
            scheduler.onPacket(segment, packet, { priority, seconds(8) }, now);
        }

        static core::Segment data(int flow, std::uint32_t number, std::uint32_t bytes = payload)
        {
            auto segment = dataOf(("100.64.0.1:" + std::to_string(1'000 + flow)).c_str(), 1, bytes);
            segment.sequence = number * payload;
            return segment;
        }

        /// Packets `from` up to `to` of a flow.
        void offerData(int flow, std::uint32_t from, std::uint32_t to)
        {
            for (auto number = from; number < to; ++number)
                offer(data(flow, number));
        }

        void advance(base::Duration duration)
        {
            for (const auto end = now + duration; now < end;) {
                now += milliseconds(5);
                scheduler.tick(now);
            }
        }

        std::size_t passedOf(int flow) const
        {
            return static_cast<std::size_t>(std::count_if(passed.begin(), passed.end(),
                [&](const Passed& packet) { return packet.segment.key == data(flow, 0).key; }));
        }

        /// Makes as many flows bulk as there are places, with a new packet each; they are numbered from 100.
        void fillPlaces(std::uint32_t from = 0)
        {
            for (std::size_t i = 0; i < scheduler.options().gate.places; ++i)
                offerData(100 + static_cast<int>(i), from, from + (from == 0 ? 8 : 1));
        }

        base::TimePoint now { std::chrono::hours(1) };
        LinkScheduler scheduler;
        std::size_t offered = 0;
        std::vector<Passed> passed;
        std::vector<bool> records;
    };

    struct LoadResult {
        std::size_t uploads;
        std::size_t shortRequests;
        base::Duration shortP99;
        base::Duration maxQueue;
    };

    constexpr double shortPerSecond = 100;
    constexpr seconds loadDuration { 6 };

    LoadResult runLoad(double load, const LinkOptions& options)
    {
        LinkModel model(slowLink, options);
        const double uploadBytes = LinkModel::upload.packets * (32 + payload + 180.0);
        model.addRequests(LinkModel::upload, load * slowLink * 125'000 / uploadBytes, loadDuration);
        model.addRequests(LinkModel::shortRequest, shortPerSecond, loadDuration);
        model.run();
        const auto shortTimes = model.answered(LinkModel::shortRequest);
        return { model.answered(LinkModel::upload).size(), shortTimes.size(), shortTimes[shortTimes.size() * 99 / 100],
            std::max(model.inbound().maxQueue, model.outbound().maxQueue) };
    }

} // namespace

// Guards against retransmissions that fill the link: without the scheduler a third of the uploads and short requests
// is answered at 1.5 times the link.
TEST_CASE("load: uploads at and above the rate of a 10 Mbit/s link neither delay short requests nor collapse")
{
    for (const double load : { 0.5, 1.0, 1.5, 2.0 }) {
        CAPTURE(load);
        const auto result = runLoad(load, makeLinkOptions(slowLink));
        const auto naive = runLoad(load, {});
        CHECK(result.shortRequests == static_cast<std::size_t>(shortPerSecond * loadDuration.count()));
        CHECK(result.shortP99 < milliseconds(300));
        CHECK(result.maxQueue < milliseconds(200));
        CHECK(result.uploads >= naive.uploads);
    }
}

TEST_CASE("load: flows that never end do not keep the others from the link")
{
    Fixture fixture;
    fixture.fillPlaces();
    fixture.advance(milliseconds(60));
    fixture.offerData(1, 0, 16);
    CHECK(fixture.passedOf(1) == 6); // more is bulk
    for (std::uint32_t number = 8; number < 500; ++number) { // a packet of each active flow every 5 ms fills the link
        fixture.advance(milliseconds(5));
        fixture.fillPlaces(number);
        if (number % 64 == 0)
            fixture.offerData(1, 6, 16); // the caller retransmits
    }
    CHECK(fixture.passedOf(1) >= 16);
    CHECK(fixture.scheduler.count(LinkCount::DroppedCopies) > 0);
}

TEST_CASE("load: slow bulk flows that hold all places do not keep the others from an idle link")
{
    Fixture fixture;
    fixture.fillPlaces();
    fixture.advance(milliseconds(60));
    fixture.offerData(1, 0, 16);
    for (std::uint32_t number = 8; number < 18; ++number) {
        fixture.advance(milliseconds(20));
        fixture.fillPlaces(number);
    }
    CHECK(fixture.scheduler.gate().active() > fixture.scheduler.options().gate.places);
    CHECK(fixture.passedOf(1) == 16);
}

TEST_CASE("a flow that waits gets a place when another one pauses, in the order of arrival")
{
    Fixture fixture;
    fixture.fillPlaces();
    for (const int flow : { 3, 1, 2 })
        fixture.offerData(flow, 0, 16);
    CHECK(fixture.scheduler.gate().waiting() == 3);
    fixture.advance(milliseconds(90));
    fixture.fillPlaces(8);
    fixture.offer(Fixture::data(100, 9));
    CHECK(fixture.passedOf(3) == 6);
    auto fin = Fixture::data(100, 10, 0);
    fin.fin = true;
    fixture.offer(fin);
    fixture.advance(milliseconds(40));
    CHECK(fixture.passedOf(3) == 16);
    CHECK(fixture.passedOf(1) == 6);
    fixture.advance(milliseconds(250));
    CHECK(fixture.passedOf(1) == 16);
    CHECK(fixture.passedOf(2) == 16);
    CHECK(fixture.scheduler.heldBytes() == 0);
}

TEST_CASE("held packets of a flow that has been reset are discarded, and their copies before that")
{
    Fixture fixture;
    fixture.fillPlaces();
    fixture.advance(milliseconds(60));
    fixture.offerData(1, 0, 16);
    fixture.offerData(1, 6, 16);
    CHECK(fixture.scheduler.count(LinkCount::DroppedCopies) == 10);
    auto reset = Fixture::data(1, 16, 0);
    reset.rst = true;
    fixture.offer(reset);
    CHECK(fixture.scheduler.count(LinkCount::DroppedAbandoned) == 10);
    CHECK(fixture.scheduler.heldBytes() == 0);
    CHECK(fixture.passedOf(1) == 7);
}

TEST_CASE("load: when memory is full, bulk packets are dropped and short requests still pass")
{
    auto options = makeLinkOptions(slowLink);
    options.maxHeldBytes = 100 * 1'024;
    Fixture fixture(options);
    fixture.fillPlaces();
    for (int flow = 1; flow <= 20; ++flow)
        fixture.offerData(flow, 0, 16);
    CHECK(fixture.scheduler.count(LinkCount::DroppedPackets) > 0);
    CHECK(fixture.scheduler.heldBytes() <= options.maxHeldBytes);
    fixture.offer(Fixture::data(50, 0, 400));
    fixture.advance(milliseconds(300));
    CHECK(fixture.passedOf(50) == 1);
}

TEST_CASE("packets leave by priority, bulk flows last, but none waits longer than its limit")
{
    Fixture fixture;
    fixture.offerData(1, 0, 16); // bulk from the 7th packet on
    for (int flow = 10; flow < 40; ++flow) // fills the link
        fixture.offer(Fixture::data(flow, 0), 1);
    fixture.offer(Fixture::data(50, 0), 9);
    fixture.offer(Fixture::data(51, 0), 0);
    const auto positionOf = [&](int flow) {
        return std::find_if(fixture.passed.begin(), fixture.passed.end(), [&](const auto& packet) {
            return packet.segment.key == Fixture::data(flow, 0).key;
        }) - fixture.passed.begin();
    };
    fixture.advance(milliseconds(60));
    CHECK(positionOf(51) < positionOf(39));
    CHECK(positionOf(39) < positionOf(50));
    // A constant load of the highest priority above the link's rate must not starve the others.
    for (int i = 0; i < 40; ++i) {
        for (int flow = 60; flow < 70; ++flow)
            fixture.offer(Fixture::data(flow + 10 * i, 0), 0);
        if (i == 5)
            fixture.offer(Fixture::data(52, 0), 9);
        fixture.advance(milliseconds(5));
    }
    CHECK(fixture.passedOf(52) == 1);
    CHECK(fixture.passedOf(1) == 16);
}

TEST_CASE("on a fast or unknown link every packet passes at once and in order")
{
    for (const double link : { 200.0, 0.0 }) {
        Fixture fixture(makeLinkOptions(link));
        for (std::uint32_t number = 0; number < 34; ++number) {
            for (int flow = 0; flow < 20; ++flow)
                fixture.offer(Fixture::data(flow, number));
            fixture.advance(milliseconds(5));
        }
        REQUIRE(fixture.passed.size() == fixture.offered);
        for (std::size_t i = 0; i < fixture.passed.size(); ++i)
            REQUIRE(fixture.passed[i].number == i);
        CHECK(fixture.scheduler.count(LinkCount::Held) == 0);
    }
}

TEST_CASE("a planned stop passes what is held, in the order of each flow")
{
    Fixture fixture;
    fixture.fillPlaces();
    fixture.offerData(1, 0, 16);
    fixture.scheduler.passAll(fixture.now);
    CHECK(fixture.passed.size() == fixture.offered);
    fixture.offerData(2, 0, 16);
    CHECK(fixture.passedOf(2) == 16);
    CHECK(fixture.scheduler.heldBytes() == 0);
}

TEST_CASE("the log has one pair of lines in ten seconds, however often flows begin to wait")
{
    Fixture fixture;
    for (std::uint32_t round = 0; round < 4; ++round) {
        for (int flow = 0; flow < 8; ++flow)
            fixture.offerData(flow, 16 * round, 16 * round + 16);
        fixture.advance(milliseconds(1'000));
    }
    CHECK(fixture.records == std::vector { true, false });
}

// Guards against corrupted flows: a packet that overtakes another one of its flow, or that is sent twice, causes
// acknowledgements that make callers retransmit.
TEST_CASE("property: no packet is duplicated or reordered within a flow, and the memory stays bounded")
{
    const auto holds = rc::check("schedules", [] {
        auto options = makeLinkOptions(*rc::gen::element(1.0, 10.0, 50.0));
        options.maxHeldBytes = 64 * 1'024;
        options.gate.maxFlows = 8;
        Fixture fixture(options);
        std::array<std::uint32_t, 12> next {};
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            300, rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 16), rc::gen::inRange(0, 30)));
        for (const auto& [flow, kind, pause] : steps) {
            auto& number = next[static_cast<std::size_t>(flow)];
            auto segment = Fixture::data(flow, number, kind == 1 ? 0 : payload);
            segment.fin = kind == 2;
            segment.rst = kind == 3;
            segment.syn = kind == 4;
            segment.ack = !segment.syn;
            segment.acknowledgement = segment.syn ? static_cast<std::uint32_t>(pause % 3) : 1;
            if (segment.syn || segment.rst || (segment.fin && pause % 2 == 0))
                segment.payloadBytes = 0;
            if (kind == 5 && number > 3)
                segment.sequence -= 2 * payload; // a retransmission
            for (int i = 0; i < (kind > 8 ? 16 : 1); ++i) {
                fixture.offer(segment, static_cast<std::uint32_t>(flow % 3));
                RC_ASSERT(fixture.scheduler.heldBytes() <= options.maxHeldBytes);
                segment.sequence += payload;
                ++number;
            }
            fixture.advance(milliseconds(pause));
        }
        fixture.advance(seconds(10));
        RC_ASSERT(fixture.scheduler.heldBytes() == 0U);
        RC_ASSERT(fixture.scheduler.heldFlows() == 0U);
        RC_ASSERT(fixture.scheduler.gate().flows() <= options.gate.maxFlows);
        std::map<core::FlowKey, std::size_t> lastNumber;
        for (const auto& [segment, number] : fixture.passed) {
            if (segment.payloadBytes == 0 && !segment.fin)
                continue; // acknowledgements, resets and SYNs pass at once
            const auto [last, first] = lastNumber.try_emplace(segment.key, number);
            RC_ASSERT(first || last->second < number);
            last->second = number;
        }
    });
    CHECK(holds);
}

} // namespace celerystile::fleet
