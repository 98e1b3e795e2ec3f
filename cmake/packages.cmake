# Helpers that declare external libraries, packages and programs.
find_package(PkgConfig REQUIRED)

# Finds the external libraries and declares an imported target for each.
macro(ll_find_libraries)
    foreach(name libevent libevent_pthreads libprotobuf-c glib-2.0 libcyaml
                 jansson libxxhash libsodium zlib)
        pkg_check_modules(${name} REQUIRED IMPORTED_TARGET GLOBAL ${name})
    endforeach()
endmacro()

# Declares package NAME from the .c files in its folder. DEPENDS lists the
# packages that it may include; including any other package fails the build.
function(ll_package name)
    cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.c generated/*.c)
    add_library(ll_${name} STATIC ${sources})
    target_include_directories(ll_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    foreach(dep ${arg_DEPENDS})
        target_link_libraries(ll_${name} PUBLIC ll_${dep})
    endforeach()
    foreach(lib ${arg_LIBRARIES})
        target_link_libraries(ll_${name} PUBLIC PkgConfig::${lib})
    endforeach()
    add_custom_command(TARGET ll_${name} PRE_BUILD
        COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-layers.sh
                ${CMAKE_CURRENT_SOURCE_DIR} ${name} ${arg_DEPENDS})
endfunction()

# Declares program NAME from SOURCES, linked with the packages in DEPENDS.
function(ll_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    foreach(dep ${arg_DEPENDS})
        target_link_libraries(${name} PRIVATE ll_${dep})
    endforeach()
endfunction()
