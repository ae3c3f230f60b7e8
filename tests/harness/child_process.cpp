// SPDX-License-Identifier: BSD-2-Clause
// Starts processes with posix_spawn.
#include "tests/harness/child_process.h"

#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace shedhill::harness {

namespace {

// Starts the program with its standard output at the descriptor and returns its process id.
result<pid_t> spawn(std::string const& program, std::vector<std::string> const& arguments, int output)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    // A child must not inherit sockets: a port that this process closes would stay open in the child.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<std::string> argument_texts { program };
    argument_texts.insert(argument_texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(argument_texts.size() + 1);
    for (auto& text : argument_texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    pid_t id = 0;
    auto const failure = posix_spawn(&id, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        return fail("start process", program, "cannot be started");
    return id;
}

} // namespace

result<child_process> child_process::start(std::string const& program, std::vector<std::string> const& arguments)
{
    std::array<int, 2> pipe_ends {};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        return fail("start process", program, "cannot create a pipe");
    auto const id = spawn(program, arguments, pipe_ends[1]);
    close(pipe_ends[1]);
    child_process started;
    started.m_id = TRY(id);
    std::string line;
    char character = 0;
    while (read(pipe_ends[0], &character, 1) == 1 && character != '\n')
        line.push_back(character);
    // NOTE: The pipe stays open until this process ends, since the child may print more.
    TRY_VOID(started.read_addresses(program, line));
    return started;
}

result<child_process> child_process::start_logged(
    std::string const& program, std::vector<std::string> const& arguments, std::string const& log_path)
{
    constexpr int max_pauses = 3000;
    constexpr std::chrono::milliseconds pause { 5 };
    constexpr mode_t mode = 0644;
    auto const log = open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, mode);
    if (log < 0)
        return fail("start process", log_path, "cannot open the log for writing");
    auto const start = lseek(log, 0, SEEK_END);
    auto const id = spawn(program, arguments, log);
    close(log);
    child_process started;
    started.m_id = TRY(id);
    for (int paused = 0; paused < max_pauses; ++paused) {
        std::ifstream written(log_path);
        written.seekg(start);
        std::string line;
        if (std::getline(written, line) && !written.eof()) {
            TRY_VOID(started.read_addresses(program, line));
            return started;
        }
        boost::this_fiber::sleep_for(pause);
    }
    return fail("start process", program, "did not print its listening addresses");
}

result<void> child_process::read_addresses(std::string const& program, std::string const& line)
{
    if (line.starts_with('{')) {
        // The line is of a structured log, whose fields "NAME_port" hold the ports.
        constexpr std::string_view suffix = "_port";
        auto const fields = boost::json::parse(line);
        for (auto const& [name, value] : fields.as_object()) {
            std::string_view const field(name.data(), name.size());
            if (field.ends_with(suffix))
                m_ports[std::string(field.substr(0, field.size() - suffix.size()))]
                    = std::to_string(value.to_number<int>());
        }
        return {};
    }
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word != "listening")
        return fail("start process", program, "did not print its listening addresses, but: " + line);
    while (words >> word) {
        auto const equals = word.find('=');
        m_ports[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return {};
}

result<int> child_process::run(
    std::string const& program, std::vector<std::string> const& arguments, std::string& output)
{
    std::array<int, 2> pipe_ends {};
    if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
        return fail("run process", program, "cannot create a pipe");
    auto const id = spawn(program, arguments, pipe_ends[1]);
    close(pipe_ends[1]);
    auto const output_end = pipe_ends[0];
    child_process started;
    started.m_id = TRY(id);
    // The program may need an answer from a fiber of this process, so reading must not block the thread.
    fcntl(output_end, F_SETFL, O_NONBLOCK);
    std::array<char, 4096> piece {};
    while (true) {
        auto const size = read(output_end, piece.data(), piece.size());
        if (size == 0)
            break;
        if (size > 0)
            output.append(piece.data(), static_cast<std::size_t>(size));
        else
            boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    close(output_end);
    int code = -1;
    if (!started.wait_for_end(code))
        return fail("run process", program, "did not end in time");
    return code;
}

child_process::child_process(child_process&& other) noexcept
    : m_id(std::exchange(other.m_id, 0))
    , m_ports(std::move(other.m_ports))
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    kill();
    m_id = std::exchange(other.m_id, 0);
    m_ports = std::move(other.m_ports);
    return *this;
}

child_process::~child_process() { kill(); }

std::string child_process::address(std::string const& name) const { return "127.0.0.1:" + m_ports.at(name); }

void child_process::send_signal(int signal) const
{
    if (m_id > 0)
        ::kill(m_id, signal);
}

bool child_process::wait_for_end(int& exit_code)
{
    constexpr int max_pauses = 3000;
    for (int paused = 0; paused < max_pauses; ++paused) {
        int state = 0;
        if (waitpid(m_id, &state, WNOHANG) == m_id) {
            m_id = 0;
            exit_code = WIFEXITED(state) ? WEXITSTATUS(state) : -1;
            return true;
        }
        boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

bool child_process::has_ended()
{
    if (m_id <= 0 || waitpid(m_id, nullptr, WNOHANG) != m_id)
        return m_id <= 0;
    m_id = 0;
    return true;
}

void child_process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = 0;
}

std::int64_t child_process::peak_memory_kib() const
{
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        constexpr std::string_view peak_field = "VmHWM:";
        if (line.starts_with(peak_field))
            return std::stoll(line.substr(peak_field.size()));
    }
    return 0;
}

std::string program_path(std::string const& name) { return std::string(SHEDHILL_BINARY_DIR) + "/" + name; }

} // namespace shedhill::harness
