#define DOCTEST_CONFIG_IMPLEMENT
#include "celerystile/base/events.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <iostream>
#include <set>

/// @file
/// @brief Runs all tests and prints "N passed, N failed" at the end. Test cases listed in KNOWN-RED.txt are run and
/// printed, but do not affect the exit code.

namespace {

std::set<std::string> readKnownRed()
{
    constexpr std::string_view prefix = "test: ";
    std::set<std::string> names;
    std::ifstream file(std::string(CELERYSTILE_SOURCE_DIR) + "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix))
            names.insert(line.substr(prefix.size()));
    }
    return names;
}

int passed = 0;
int failed = 0;

class ResultCounter final : public doctest::IReporter {
public:
    explicit ResultCounter(const doctest::ContextOptions&) { }
    void report_query(const doctest::QueryData&) override { }
    void test_run_start() override { }
    void test_run_end(const doctest::TestRunStats&) override { }
    void test_case_start(const doctest::TestCaseData& test) override { name_ = test.m_name; }
    void test_case_reenter(const doctest::TestCaseData&) override { }
    void test_case_end(const doctest::CurrentTestCaseStats& stats) override
    {
        if (stats.testCaseSuccess) {
            ++passed;
            if (knownRed_.contains(name_))
                std::cout << "known red case passes now: " << name_ << std::endl;
        } else if (knownRed_.contains(name_)) {
            std::cout << "known red: " << name_ << std::endl;
        } else {
            ++failed;
            std::cout << "failed: " << name_ << std::endl;
        }
    }
    void test_case_exception(const doctest::TestCaseException&) override { }
    void subcase_start(const doctest::SubcaseSignature&) override { }
    void subcase_end() override { }
    void log_assert(const doctest::AssertData&) override { }
    void log_message(const doctest::MessageData&) override { }
    void test_case_skipped(const doctest::TestCaseData&) override { }

private:
    std::set<std::string> knownRed_ = readKnownRed();
    std::string name_;
};

} // namespace

REGISTER_LISTENER("counter", 1, ResultCounter);

int main(int argc, char** argv)
{
    ::setenv("RC_PARAMS", "seed=20261204", 1); // rapidcheck generates the same cases on every run
    celerystile::base::startLogging();
    doctest::Context context(argc, argv);
    context.run();
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
