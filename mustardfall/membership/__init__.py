"""Router membership, ownership of budgets, and router-to-router messages."""
