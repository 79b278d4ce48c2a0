# Declares a package: a static library from src/, public headers from include/, and a CppUTest program
# from test/ that is registered with CTest as NAME_tests.
function(pearhaven_package name)
  cmake_parse_arguments(arg "" "" "PACKAGES;LIBRARIES" ${ARGN})
  set(here ${CMAKE_CURRENT_SOURCE_DIR}/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${here}/src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(${name} STATIC ${sources})
  add_library(pearhaven::${name} ALIAS ${name})
  set_target_properties(${name} PROPERTIES OUTPUT_NAME pearhaven_${name} LINKER_LANGUAGE CXX)
  target_include_directories(${name} PUBLIC
    $<BUILD_INTERFACE:${here}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_include_directories(${name} PRIVATE ${here}/src)
  target_link_libraries(${name} PUBLIC ${arg_PACKAGES} ${arg_LIBRARIES})

  file(GLOB tests CONFIGURE_DEPENDS ${here}/test/*.cpp)
  if(tests AND PEARHAVEN_TESTS)
    add_executable(${name}_tests ${tests} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp)
    target_include_directories(${name}_tests PRIVATE ${here}/src ${CMAKE_SOURCE_DIR}/tests/support)
    target_link_libraries(${name}_tests PRIVATE ${name} rapidcheck CppUTest CppUTestExt pthread)
    add_test(NAME ${name}_tests COMMAND ${name}_tests -v)
    set_tests_properties(${name}_tests PROPERTIES TIMEOUT ${PEARHAVEN_UNIT_TIMEOUT}
      ENVIRONMENT "${PEARHAVEN_TEST_ENVIRONMENT}")
    if(PEARHAVEN_SANITIZE)
      pearhaven_plain_heap_test(${name}_tests)
    endif()
  endif()
endfunction()

# Builds the program NAME from PACKAGE/src/main.cpp.
function(pearhaven_program name package)
  set(main ${CMAKE_CURRENT_SOURCE_DIR}/${package}/src/main.cpp)
  if(EXISTS ${main})
    add_executable(${name} ${main})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${package}/src)
    target_link_libraries(${name} PRIVATE ${package})
    install(TARGETS ${name} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
  endif()
endfunction()

# Installs the embeddable packages, so that find_package(pearhaven) provides pearhaven::decision and
# pearhaven::coordination.
function(pearhaven_install)
  install(TARGETS decision coordination EXPORT pearhaven ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  foreach(name decision coordination)
    install(DIRECTORY ${CMAKE_SOURCE_DIR}/${name}/include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endforeach()
  install(EXPORT pearhaven NAMESPACE pearhaven:: FILE pearhaven-config.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pearhaven)
endfunction()
