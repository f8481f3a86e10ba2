// Runs the bundled program beside this file from its code cache, where the runtime
// accepts that.

'use strict'

const { readFileSync } = require('node:fs')
const { Module } = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const filename = join(__dirname, 'proxy.cjs')

function readCache () {
  try {
    return readFileSync(`${filename}.cache`)
  } catch {
    return undefined
  }
}

const script = new Script(Module.wrap(readFileSync(filename, 'utf8')), { filename, cachedData: readCache() })
script.runInThisContext()(exports, require, module, filename, __dirname)
