// Bundles the compiled program and its libraries into a few files, because
// loading several hundred modules one by one takes most of the processor time of
// a start. Modules that are imported dynamically stay in separate files.

import { build } from 'esbuild'

const [program = 'target/platform/main.js', folder = 'target/bundle'] = process.argv.slice(2)

await build({
  entryPoints: [program],
  outdir: folder,
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'error',
  // Bundled CommonJS libraries call `require`, which an ES module lacks.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" }
})
