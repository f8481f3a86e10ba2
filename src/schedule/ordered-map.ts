// A read-only ordered map: a weight-balanced tree. A change copies one path of the
// tree, so it takes O(log n) time and the map before the change stays as it was.
// Each node knows its size, so positions in the order are found in O(log n), too.

/** Orders two keys: negative, zero or positive. */
export type Compare<K> = (a: K, b: K) => number

type TreeNode<K, V> = {
  readonly key: K
  readonly value: V
  readonly size: number
  readonly left: Tree<K, V>
  readonly right: Tree<K, V>
}

type Tree<K, V> = TreeNode<K, V> | undefined

/** A read-only map whose entries are in the order of their keys. */
export type OrderedMap<K, V> = {
  readonly compare: Compare<K>
  readonly root: Tree<K, V>
}

/** Largest ratio of the weights of two siblings, and of a rotation's inner child. */
const maxRatio = 3
const maxInnerRatio = 2

/**
 * Creates an empty map.
 * @param compare - order of the keys
 * @returns the map
 */
export function emptyMap<K, V> (compare: Compare<K>): OrderedMap<K, V> {
  return { compare, root: undefined }
}

/**
 * Returns the number of entries.
 * @param map - the map
 * @returns the count
 */
export function sizeOf<K, V> (map: OrderedMap<K, V>): number {
  return treeSize(map.root)
}

/**
 * Finds the value of a key.
 * @param map - the map
 * @param key - the key
 * @returns the value; undefined where the map lacks the key
 */
export function valueOf<K, V> (map: OrderedMap<K, V>, key: K): V | undefined {
  let node = map.root
  while (node !== undefined) {
    const order = map.compare(key, node.key)
    if (order === 0) return node.value
    node = order < 0 ? node.left : node.right
  }
  return undefined
}

/**
 * Adds or replaces an entry.
 * @param map - the map
 * @param key - the key
 * @param value - its value
 * @returns the map with the entry
 */
export function withEntry<K, V> (map: OrderedMap<K, V>, key: K, value: V): OrderedMap<K, V> {
  return { compare: map.compare, root: insert(map.compare, map.root, key, value) }
}

/**
 * Removes an entry.
 * @param map - the map
 * @param key - the key
 * @returns the map without the key
 */
export function withoutEntry<K, V> (map: OrderedMap<K, V>, key: K): OrderedMap<K, V> {
  const root = remove(map.compare, map.root, key)
  return root === map.root ? map : { compare: map.compare, root }
}

/**
 * Finds the entry with the lowest key.
 * @param map - the map
 * @returns key and value; undefined for an empty map
 */
export function firstOf<K, V> (map: OrderedMap<K, V>): { readonly key: K, readonly value: V } | undefined {
  let node = map.root
  while (node?.left !== undefined) node = node.left
  return node
}

/**
 * Finds the entry with the highest key.
 * @param map - the map
 * @returns key and value; undefined for an empty map
 */
export function lastOf<K, V> (map: OrderedMap<K, V>): { readonly key: K, readonly value: V } | undefined {
  let node = map.root
  while (node?.right !== undefined) node = node.right
  return node
}

/**
 * Counts the keys below a key.
 * @param map - the map
 * @param key - the key, which need not be in the map
 * @returns the count
 */
export function countBelow<K, V> (map: OrderedMap<K, V>, key: K): number {
  let count = 0
  let node = map.root
  while (node !== undefined) {
    if (map.compare(key, node.key) <= 0) {
      node = node.left
    } else {
      count += treeSize(node.left) + 1
      node = node.right
    }
  }
  return count
}

/**
 * Lists the entries in the order of their keys.
 * @param map - the map
 * @returns keys and values
 */
export function entriesOf<K, V> (map: OrderedMap<K, V>): ReadonlyArray<readonly [K, V]> {
  return entriesOfTree(map.root)
}

function entriesOfTree<K, V> (tree: Tree<K, V>): ReadonlyArray<readonly [K, V]> {
  return tree === undefined ? [] : [...entriesOfTree(tree.left), [tree.key, tree.value], ...entriesOfTree(tree.right)]
}

function treeSize<K, V> (tree: Tree<K, V>): number {
  return tree === undefined ? 0 : tree.size
}

function weight<K, V> (tree: Tree<K, V>): number {
  return treeSize(tree) + 1
}

function node<K, V> (key: K, value: V, left: Tree<K, V>, right: Tree<K, V>): TreeNode<K, V> {
  return { key, value, size: treeSize(left) + treeSize(right) + 1, left, right }
}

function insert<K, V> (compare: Compare<K>, tree: Tree<K, V>, key: K, value: V): TreeNode<K, V> {
  if (tree === undefined) return node(key, value, undefined, undefined)
  const order = compare(key, tree.key)
  if (order === 0) return { ...tree, key, value }
  return order < 0
    ? balanced(tree, insert(compare, tree.left, key, value), tree.right)
    : balanced(tree, tree.left, insert(compare, tree.right, key, value))
}

function remove<K, V> (compare: Compare<K>, tree: Tree<K, V>, key: K): Tree<K, V> {
  if (tree === undefined) return undefined
  const order = compare(key, tree.key)
  if (order === 0) return joined(tree.left, tree.right)
  const left = order < 0 ? remove(compare, tree.left, key) : tree.left
  const right = order > 0 ? remove(compare, tree.right, key) : tree.right
  return left === tree.left && right === tree.right ? tree : balanced(tree, left, right)
}

function joined<K, V> (left: Tree<K, V>, right: Tree<K, V>): Tree<K, V> {
  if (left === undefined) return right
  if (right === undefined) return left
  const { first, rest } = withoutFirst(right)
  return balanced(first, left, rest)
}

function withoutFirst<K, V> (tree: TreeNode<K, V>): { readonly first: TreeNode<K, V>, readonly rest: Tree<K, V> } {
  if (tree.left === undefined) return { first: tree, rest: tree.right }
  const { first, rest } = withoutFirst(tree.left)
  return { first, rest: balanced(tree, rest, tree.right) }
}

// Makes a node with the entry of `at`; one rotation restores the balance after one
// entry was added or removed.
function balanced<K, V> (at: TreeNode<K, V>, left: Tree<K, V>, right: Tree<K, V>): TreeNode<K, V> {
  if (right !== undefined && weight(right) > maxRatio * weight(left)) return rotatedLeft(at, left, right)
  if (left !== undefined && weight(left) > maxRatio * weight(right)) return rotatedRight(at, left, right)
  return node(at.key, at.value, left, right)
}

function rotatedLeft<K, V> (at: TreeNode<K, V>, left: Tree<K, V>, right: TreeNode<K, V>): TreeNode<K, V> {
  const inner = right.left
  if (inner === undefined || weight(inner) < maxInnerRatio * weight(right.right)) {
    return node(right.key, right.value, node(at.key, at.value, left, inner), right.right)
  }
  return node(inner.key, inner.value, node(at.key, at.value, left, inner.left), node(right.key, right.value, inner.right, right.right))
}

function rotatedRight<K, V> (at: TreeNode<K, V>, left: TreeNode<K, V>, right: Tree<K, V>): TreeNode<K, V> {
  const inner = left.right
  if (inner === undefined || weight(inner) < maxInnerRatio * weight(left.left)) {
    return node(left.key, left.value, left.left, node(at.key, at.value, inner, right))
  }
  return node(inner.key, inner.value, node(left.key, left.value, left.left, inner.left), node(at.key, at.value, inner.right, right))
}
