/** @file Exceptions. Code tells them apart by type; the text is for people. */
#pragma once

#include <stdexcept>
#include <string>

namespace rattan {

/** Base class of all exceptions of this project. */
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** A settings or declarations file is invalid. */
class config_error : public error {
public:
    /**
     * @param file The file's path.
     * @param line Line in the file, from 1; 0 for the file as a whole.
     * @param field Path of the field, as in `teams.hooks.limits.cores`.
     * @param remedy What is wrong or what to write instead.
     */
    config_error(const std::string& file, int line, const std::string& field,
                 const std::string& remedy)
        : error(file + ":" + std::to_string(line) + ": " + field + ": " +
                remedy) {}
};

/** Received or stored data does not have the expected format. */
class decode_error : public error {
public:
    using error::error;
};

/** A system or library call failed. */
class system_error : public error {
public:
    using error::error;
};

/** An external service or another process did not answer in time. */
class unreachable_error : public error {
public:
    using error::error;
};

/** A command of an operator was rejected. */
class command_error : public error {
public:
    using error::error;
};

} // namespace rattan
