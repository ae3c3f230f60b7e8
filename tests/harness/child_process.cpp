// SPDX-License-Identifier: BSD-2-Clause
// Processes by posix_spawn.
#include "tests/harness/child_process.h"

#include <array>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fcntl.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace shedhill::harness {

namespace {

struct spawned {
    pid_t id { 0 };
    int output { -1 };
};

result<spawned> spawn(std::string const& program, std::vector<std::string> const& arguments)
{
    std::array<int, 2> ends {};
    if (pipe2(ends.data(), O_CLOEXEC) != 0)
        return fail("start process", program, "no pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::vector<std::string> texts { program };
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    spawned child;
    auto const failure = posix_spawn(&child.id, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    child.output = ends[0];
    if (failure != 0) {
        close(ends[0]);
        return fail("start process", program, "cannot be started");
    }
    return child;
}

} // namespace

result<child_process> child_process::start(std::string const& program, std::vector<std::string> const& arguments)
{
    auto const child = TRY(spawn(program, arguments));
    child_process started;
    started.m_id = child.id;
    std::string line;
    char character = 0;
    while (read(child.output, &character, 1) == 1 && character != '\n')
        line.push_back(character);
    // NOTE: The pipe stays open, since the child may print more; it ends with this process.
    if (line.starts_with('{')) {
        // A line of a structured log: ports are its fields "NAME_port".
        constexpr std::string_view suffix = "_port";
        auto const fields = boost::json::parse(line);
        for (auto const& [name, value] : fields.as_object()) {
            std::string_view const field(name.data(), name.size());
            if (field.ends_with(suffix))
                started.m_ports[std::string(field.substr(0, field.size() - suffix.size()))]
                    = std::to_string(value.to_number<int>());
        }
        return started;
    }
    std::istringstream words(line);
    std::string word;
    words >> word;
    if (word != "listening")
        return fail("start process", program, "did not say where it listens: " + line);
    while (words >> word) {
        auto const equals = word.find('=');
        started.m_ports[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return started;
}

result<int> child_process::run(
    std::string const& program, std::vector<std::string> const& arguments, std::string& output)
{
    auto const child = TRY(spawn(program, arguments));
    child_process started;
    started.m_id = child.id;
    // The program may need an answer from a fiber of this process, so reading must not block the thread.
    fcntl(child.output, F_SETFL, O_NONBLOCK);
    std::array<char, 4096> piece {};
    while (true) {
        auto const size = read(child.output, piece.data(), piece.size());
        if (size == 0)
            break;
        if (size > 0)
            output.append(piece.data(), static_cast<std::size_t>(size));
        else
            boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    close(child.output);
    int code = -1;
    if (!started.wait_for_end(code))
        return fail("run process", program, "does not end");
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
    constexpr int most_pauses = 3000;
    for (int paused = 0; paused < most_pauses; ++paused) {
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

void child_process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
    m_id = 0;
}

std::string program_path(std::string const& name) { return std::string(SHEDHILL_BINARY_DIR) + "/" + name; }

} // namespace shedhill::harness
