// Compiles all functions of a bundled program and writes them beside it as a code
// cache, for deploy/main.cjs. Run with the flags of the program.

'use strict'

const { readFileSync, writeFileSync } = require('node:fs')
const { Module } = require('node:module')
const v8 = require('node:v8')
const { Script } = require('node:vm')

const [program] = process.argv.slice(2)
// The flags are part of the cache's key, so the default is restored before it is made.
v8.setFlagsFromString('--no-lazy')
const script = new Script(Module.wrap(readFileSync(program, 'utf8')), { filename: program })
v8.setFlagsFromString('--lazy')
writeFileSync(`${program}.cache`, script.createCachedData())
