// Formatting follows neostandard; the other rules enforce the structure of the
// code: read-only types, exhaustive switches and the direction of imports.
import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'
import jsdoc from 'eslint-plugin-jsdoc'
import tsdoc from 'eslint-plugin-tsdoc'

const readOnlyTypes = [
  {
    selector: 'TSPropertySignature[readonly!=true]',
    message: 'Data types are read-only: mark the field readonly.'
  },
  {
    selector: 'TSArrayType:not(TSTypeOperator[operator="readonly"] > TSArrayType):not(VariableDeclarator TSArrayType):not(PropertyDefinition[key.type="PrivateIdentifier"] TSArrayType)',
    message: 'Data types are read-only: use readonly T[].'
  },
  {
    selector: 'TSTupleType:not(TSTypeOperator[operator="readonly"] > TSTupleType)',
    message: 'Data types are read-only: use readonly [A, B].'
  },
  {
    selector: 'TSTypeReference[typeName.name=/^(Array|Map|Set|Record)$/]:not(TSTypeReference[typeName.name="Readonly"] > TSTypeParameterInstantiation > TSTypeReference):not(PropertyDefinition[key.type="PrivateIdentifier"] TSTypeReference)',
    message: 'Data types are read-only: use ReadonlyArray, ReadonlyMap, ReadonlySet or Readonly<Record>.'
  },
  {
    selector: 'PropertyDefinition[readonly!=true]:not([key.type="PrivateIdentifier"])',
    message: 'Only private #fields may be mutable.'
  }
]

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname }
    },
    plugins: { '@typescript-eslint': tseslint.plugin, tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': ['error', { requireDefaultForNonUnion: true }],
      '@typescript-eslint/no-floating-promises': ['error', {
        allowForKnownSafeCalls: [{ from: 'package', name: ['test', 'describe', 'it', 'before', 'after'], package: 'node:test' }]
      }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      'no-restricted-syntax': ['error', ...readOnlyTypes],
      'no-void': 'off',
      'new-cap': ['error', { newIsCapExceptions: ['spec'] }]
    }
  },
  {
    files: ['src/**/*.ts'],
    plugins: { jsdoc },
    settings: { jsdoc: { mode: 'typescript' } },
    rules: {
      'jsdoc/require-jsdoc': ['error', {
        publicOnly: true,
        require: { FunctionDeclaration: true, ClassDeclaration: true, MethodDefinition: true },
        contexts: ['TSTypeAliasDeclaration', 'TSInterfaceDeclaration', 'ExportNamedDeclaration > VariableDeclaration'],
        checkConstructors: false
      }],
      'jsdoc/require-param': ['error', { checkDestructured: false }],
      'jsdoc/require-param-description': 'error',
      'jsdoc/require-returns': 'error',
      'jsdoc/require-returns-description': 'error'
    }
  },
  {
    // The sources depend on no platform adapter, stand-in, test or bench.
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['**/platform/*', '**/standins/**', '**/test/**', '**/bench/**'], message: 'src must not import from platform, standins, test or bench.' }] }]
    }
  }
]
