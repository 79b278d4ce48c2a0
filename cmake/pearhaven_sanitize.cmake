# Builds with the sanitizers in PEARHAVEN_SANITIZE and sets their options for the tests.
add_compile_options(-fsanitize=${PEARHAVEN_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
add_link_options(-fsanitize=${PEARHAVEN_SANITIZE})

# A program that a sanitizer ends has a distinct exit status, by which tests/support/child_process
# recognizes it. UndefinedBehaviorSanitizer writes its report to standard error, the others to a file.
set(reports ${CMAKE_BINARY_DIR}/sanitizer_reports)
file(MAKE_DIRECTORY ${reports})
set(sanitizer_options "halt_on_error=1:exitcode=99:log_path=${reports}")
set(suppressions ${CMAKE_SOURCE_DIR}/tests/support)
list(APPEND PEARHAVEN_TEST_ENVIRONMENT
  "ASAN_OPTIONS=${sanitizer_options}/address:max_allocation_size_mb=512"
  "LSAN_OPTIONS=suppressions=${suppressions}/leak_suppressions.txt:print_suppressions=0"
  "UBSAN_OPTIONS=${sanitizer_options}/undefined:print_stacktrace=1"
  "TSAN_OPTIONS=${sanitizer_options}/thread:suppressions=${suppressions}/thread_suppressions.txt")

# CppUTest's heap stores its records behind each block, so that AddressSanitizer misses a read past the
# end, and locks at each call, which ThreadSanitizer takes for synchronization between threads. So the
# tests of packages run on the plain heap: with ThreadSanitizer only there, otherwise additionally, with
# more fuzzing rounds for the parsers.
set(PEARHAVEN_PLAIN_HEAP "PEARHAVEN_PLAIN_HEAP=1" "PEARHAVEN_FUZZ_TIMES=10")
if(PEARHAVEN_SANITIZE MATCHES "thread")
  list(APPEND PEARHAVEN_TEST_ENVIRONMENT "PEARHAVEN_PLAIN_HEAP=1")
  set(PEARHAVEN_PLAIN_HEAP "")
endif()

# Sanitizers slow programs down; the timeouts only end tests that hang.
math(EXPR PEARHAVEN_UNIT_TIMEOUT "3 * ${PEARHAVEN_UNIT_TIMEOUT}")
math(EXPR PEARHAVEN_FLEET_TIMEOUT "3 * ${PEARHAVEN_FLEET_TIMEOUT}")

# Adds a run of a package's tests on the plain heap.
function(pearhaven_plain_heap_test name)
  if(PEARHAVEN_PLAIN_HEAP)
    add_test(NAME ${name}_plain_heap COMMAND ${name} -v)
    set_tests_properties(${name}_plain_heap PROPERTIES TIMEOUT ${PEARHAVEN_UNIT_TIMEOUT}
      ENVIRONMENT "${PEARHAVEN_TEST_ENVIRONMENT};${PEARHAVEN_PLAIN_HEAP}")
  endif()
endfunction()
