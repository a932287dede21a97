package front

// MaxHeldBytes is what answers may hold together.
const MaxHeldBytes = maxHeldBytes
