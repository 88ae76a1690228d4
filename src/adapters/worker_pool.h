/// @file
/// Pool of threads that run coroutines. Each worker has its own event loop, so the state of a
/// connection is used by one thread only and needs no lock. Tables shared by workers have locks.
#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace workshatch {

class WorkerPool {
public:
  explicit WorkerPool(size_t workers);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  size_t size() const { return workers_.size(); }
  boost::asio::io_context& context(size_t index) { return workers_[index]->context; }

  /// @return the index of the worker for the next connection (round robin). Safe for concurrent
  /// use.
  size_t next() { return next_.fetch_add(1) % workers_.size(); }

  void start();
  /// Runs the first worker on the calling thread until `requestStop`. Only for a pool with one
  /// worker.
  void runOnCallingThread() { workers_.front()->context.run(); }
  /// Makes `runOnCallingThread` return.
  void requestStop() { workers_.front()->context.stop(); }
  /// Stops all workers and waits for their threads.
  void stop();

private:
  struct Worker {
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        context.get_executor()};
    std::thread thread;
  };

  std::vector<std::unique_ptr<Worker>> workers_;
  std::atomic<size_t> next_{0};
};

} // namespace workshatch
