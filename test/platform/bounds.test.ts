// The settings that the platform renders, against the bounds that its users state.

import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import fc from 'fast-check'
import { parseSettings, type Settings } from '../../src/config/index.js'
import { builtProgram } from '../../standins/set/process.js'

type Bounds = { readonly DrainMs: number, readonly ConfigApplyMs: number, readonly RevokeMs: number, readonly GraceS: number, readonly EvacuateMs?: number, readonly ColdExcess?: number, readonly ColdSlack?: number }

const bounds: Bounds = { DrainMs: 7000, ConfigApplyMs: 3000, RevokeMs: 5000, GraceS: 6 }

/** Settings of a host as the platform renders the template, with the given bounds. */
function renderedSettings (stated: Bounds): Settings {
  const fields: Readonly<Record<string, string | number>> = {
    NodeName: 'h-1',
    Zone: 'medina',
    Ip: '10.1.0.26',
    'PortRange.0': 7560,
    'Limits.CpuShare': 0.459,
    'Limits.Cores': 1,
    'Listen.Frontend': '10.1.0.26:8465',
    'Listen.Readiness': '10.1.0.26:8460',
    'platform.Addr': '10.200.1.7:8466',
    'Cloud.Addr': '10.200.0.2:8466',
    ...Object.fromEntries(Object.entries(stated).map(([name, value]) => [`Bounds.${name}`, value]))
  }
  const template = readFileSync(join(builtProgram('..'), 'deploy', 'settings.toml'), 'utf8')
  const sections = template.replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, name: string, body: string) => fields[name] === undefined ? '' : body)
  const text = sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name: string, json?: string) => json === undefined ? String(fields[name]) : JSON.stringify(fields[name]))
  const result = parseSettings(text, 'settings.toml')
  assert.deepEqual(result.kind === 'invalid' ? result.errors : [], [])
  return (result as Extract<typeof result, { readonly kind: 'valid' }>).settings
}

// Guards against DRAIN: the drain time was no setting, and nothing compared it with the bound.
test('the drain time and the grace time are those that the users state', () => {
  for (const DrainMs of [7000, 4000]) assert.equal(renderedSettings({ ...bounds, DrainMs }).control.drainMs, DrainMs)
  assert.equal(renderedSettings(bounds).stop.graceMs, bounds.GraceS * 1000)
})

// Guards against evacuations that are read where the users have none, or with another bound than theirs.
test('the time of an evacuation is the one that the users state, and unset where they state none', () => {
  assert.equal(renderedSettings({ ...bounds, EvacuateMs: 5000 }).control.evacuateMs, 5000)
  assert.equal(renderedSettings(bounds).control.evacuateMs, undefined)
})

// Guards against a bound of cold servers where the users state none, and another one than theirs.
test('the bound of cold servers is the one that the users state', () => {
  const { coldExcess, coldSlack } = renderedSettings({ ...bounds, ColdExcess: 1.25, ColdSlack: 3 }).control
  assert.deepEqual([coldExcess, coldSlack], [1.25, 3])
  assert.equal(renderedSettings(bounds).control.coldExcess, undefined)
})

const drawnBounds: fc.Arbitrary<Bounds> = fc.record({
  DrainMs: fc.oneof(fc.integer({ min: 1000, max: 60_000 }), fc.integer({ min: 2000, max: 120_000 }).map(halves => halves / 2)),
  ConfigApplyMs: fc.integer({ min: 1000, max: 60_000 }),
  RevokeMs: fc.integer({ min: 1000, max: 60_000 }),
  GraceS: fc.oneof(fc.integer({ min: 1, max: 120 }), fc.integer({ min: 10, max: 1200 }).map(tenths => tenths / 10))
})

// Guards against SHORT: bounds are whole numbers or fractions, and nothing had tried any but those of the two small fleets.
test('the settings are valid for any bounds that the users state, and no time is longer than its bound', () => {
  fc.assert(fc.property(drawnBounds, stated => {
    const { control, stop } = renderedSettings(stated)
    assert.ok(control.drainMs <= stated.DrainMs && control.drainMs > stated.DrainMs - 1, `${control.drainMs} ms`)
    assert.ok(stop.graceMs <= stated.GraceS * 1000 && stop.graceMs > stated.GraceS * 1000 - 1, `${stop.graceMs} ms`)
  }), { seed: 31, numRuns: 200 })
})

test('a host without a confirmation of its configuration stops within the bound for withdrawn keys', () => {
  assert.ok(renderedSettings(bounds).control.confirmWithinMs <= bounds.RevokeMs)
})

// KNOWN-RED. Guards against CONFIG: a host that hears of no newer version serves the old one longer than the bound allows.
test('a host without a confirmation of its configuration stops within the bound for a new configuration', () => {
  const { confirmWithinMs } = renderedSettings(bounds).control
  assert.ok(confirmWithinMs <= bounds.ConfigApplyMs, `${confirmWithinMs} ms`)
})
