// SPDX-License-Identifier: BSD-2-Clause
// Writes the last line of a process without allocating memory, since it may be short of memory or in a signal handler.
#include "libraries/logging/process_end.h"

#include "base/verify.h"

#include <array>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace shedhill::logging {

namespace {

// A line of limited length, built without allocations.
class last_line {
public:
    last_line& add(std::string_view text)
    {
        for (char const letter : text) {
            bool const is_plain = static_cast<unsigned char>(letter) >= ' ';
            if (m_size + 1 < m_bytes.size())
                m_bytes.at(m_size++) = is_plain ? letter : ' ';
        }
        return *this;
    }

    // Adds text that may contain quotation marks.
    last_line& add_quoted(std::string_view text)
    {
        for (char const letter : text)
            add(letter == '"' || letter == '\\' ? std::string_view("'") : std::string_view(&letter, 1));
        return *this;
    }

    last_line& add(std::int64_t number)
    {
        constexpr std::size_t max_digits = 20;
        std::array<char, max_digits> digits {};
        auto const written = std::to_chars(digits.data(), digits.data() + digits.size(), number);
        return add(std::string_view(digits.data(), static_cast<std::size_t>(written.ptr - digits.data())));
    }

    void write()
    {
        m_bytes.at(m_size++) = '\n';
        // The result is ignored: the process ends in any case.
        [[maybe_unused]] auto const written = ::write(STDOUT_FILENO, m_bytes.data(), m_size);
    }

private:
    static constexpr std::size_t max_size = 1024;
    // Invariant: m_size is less than max_size until the line is written.
    std::array<char, max_size> m_bytes {};
    std::size_t m_size { 0 };
};

constexpr std::size_t max_vm_size = 128;
std::array<char, max_vm_size> g_vm {}; // NOLINT: a signal handler can access only globals
std::size_t g_vm_size = 0; // NOLINT
volatile std::sig_atomic_t g_has_ended = 0; // NOLINT

void write_end(std::string_view cause, std::string_view what, std::int64_t number)
{
    if (std::exchange(g_has_ended, 1) != 0)
        return;
    timespec now {};
    clock_gettime(CLOCK_REALTIME, &now);
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    last_line()
        .add(R"({"unix_ms":)")
        .add(now.tv_sec * ms_per_second + now.tv_nsec / ns_per_ms)
        .add(R"(,"vm":")")
        .add_quoted({ g_vm.data(), g_vm_size })
        .add(R"(","level":"warning","event":"process_ended","cause":")")
        .add(cause)
        .add(R"(","what":")")
        .add_quoted(what)
        .add(R"(","number":)")
        .add(number)
        .add("}")
        .write();
}

[[noreturn]] void handle_terminate()
{
    try {
        if (auto const thrown = std::current_exception())
            std::rethrow_exception(thrown);
        write_end("terminate", "", 0);
    } catch (std::exception const& thrown) {
        write_end("exception", thrown.what(), 0);
    } catch (...) {
        write_end("exception", "of an unknown type", 0);
    }
    std::abort();
}

void handle_signal(int signal)
{
    write_end("signal", "", signal);
    std::signal(signal, SIG_DFL);
    std::raise(signal);
}

void handle_broken_invariant(char const* invariant, char const* /*file*/, std::uint_least32_t line)
{
    write_end("broken_invariant", invariant, line);
}

} // namespace

void log_process_end(std::string const& vm)
{
    g_vm_size = vm.copy(g_vm.data(), g_vm.size());
    std::set_terminate(handle_terminate);
    set_invariant_handler(handle_broken_invariant);
    for (auto const signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT })
        std::signal(signal, handle_signal);
}

} // namespace shedhill::logging
