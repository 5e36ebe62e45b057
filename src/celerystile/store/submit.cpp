#include "celerystile/store/etcd_client.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace celerystile::store {

namespace asio = boost::asio;

namespace {

    constexpr int maxAttempts = 4;
    constexpr std::chrono::milliseconds initialBackoff { 100 };

    asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(duration);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }

    /// Returns the record of the submission from the history, if it has ever been accepted.
    asio::awaitable<base::Result<std::optional<Record>>> findAccepted(EtcdClient& client, const std::string& submission)
    {
        const auto records = co_await client.history();
        if (!records)
            co_return tl::make_unexpected(records.error());
        const auto found = std::find_if(
            records->begin(), records->end(), [&](const Record& record) { return record.submission == submission; });
        if (found == records->end())
            co_return std::optional<Record> {};
        co_return std::optional<Record> { *found };
    }

} // namespace

// The swap names the revision that held generation `base`, so a write whose answer was lost can't be applied twice.
asio::awaitable<SubmitReport> submit(EtcdClient& client, Record record, core::Generation base)
{
    SubmitReport report;
    auto backoff = initialBackoff;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0) {
            co_await sleepFor(backoff);
            backoff *= 2;
        }
        const auto accepted = co_await findAccepted(client, record.submission);
        if (!accepted) {
            report.detail = accepted.error().detail;
            continue;
        }
        if (*accepted) {
            report.outcome = SubmitOutcome::Accepted;
            report.generation = (*accepted)->generation;
            co_return report;
        }
        const auto current = co_await client.readCurrent();
        if (!current) {
            report.detail = current.error().detail;
            continue;
        }
        const auto inForce = current->record ? current->record->generation : 0;
        if (inForce != base) {
            // An earlier write of this submission may have been applied between the two reads. It can't be applied any
            // more, since the revision has changed.
            const auto acceptedMeanwhile = co_await findAccepted(client, record.submission);
            if (!acceptedMeanwhile || *acceptedMeanwhile)
                continue;
            report.outcome = SubmitOutcome::Conflict;
            report.conflicting = current->record;
            co_return report;
        }
        record.generation = inForce + 1;
        const auto swapped = co_await client.swap(record, current->revision);
        if (!swapped)
            report.detail = swapped.error().detail;
        if (swapped && *swapped == SwapOutcome::Written) {
            report.outcome = SubmitOutcome::Accepted;
            report.generation = record.generation;
            co_return report;
        }
    }
    report.outcome = SubmitOutcome::Unknown;
    co_return report;
}

} // namespace celerystile::store
